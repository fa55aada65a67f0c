package main

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/backend"
	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/platform"
)

// Settings of the simulated servers that run as separate processes.
const (
	appendsPerSecond   = 400
	hostListDelay      = 300 * time.Millisecond
	registerTimeout    = 5 * time.Second
	backendServiceTime = 5 * time.Millisecond
)

// serve calls run with a listener on the address and closes the listener when the context
// ends.
func serve(ctx context.Context, address string, run func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening")
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	return run(l)
}

// newPlatform returns the command that runs the simulated platform.
func newPlatform() *cli.Command {
	var address string
	return &cli.Command{
		Name: "platform", Usage: "run the simulated platform as a separate process",
		Description: "The platform has the workers of the sample configuration. POST /hosts adds an entry host or a backend server to its host list.\n\nExample: standin platform --address 127.0.0.1:8090",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "address", Usage: "IP:port to serve on", Value: "127.0.0.1:8090", Destination: &address}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			p := platform.New(platform.Options{AppendsPerSecond: appendsPerSecond, ListDelay: hostListDelay})
			for id, h := range deployment.Sample().Hosts {
				p.Fleet.Put(inventory.WorkerInfo{ID: id.Worker(), DataCentre: h.DataCentre, Rack: h.Rack, Size: h.Size})
				p.Hosts.Put(time.Now(), inventory.ListedHost{ID: id, Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: h.DataCentre, Rack: h.Rack})
			}
			return serve(ctx, address, p.Serve)
		},
	}
}

// newBackend returns the command that runs a backend server.
func newBackend() *cli.Command {
	var address, platformAddress, id, service, dataCentre string
	return &cli.Command{
		Name: "backend", Usage: "run a backend server as a separate process and register it with the platform",
		Description: "Example: standin backend --id s1 --service Prices --data-centre Montevideo-1 --address 127.0.0.1:9001",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "IP:port to serve on", Required: true, Destination: &address},
			&cli.StringFlag{Name: "platform-address", Usage: "IP:port of the platform", Value: "127.0.0.1:8090", Destination: &platformAddress},
			&cli.StringFlag{Name: "id", Usage: "unique name of the server", Required: true, Destination: &id},
			&cli.StringFlag{Name: "service", Usage: "service that the server belongs to", Required: true, Destination: &service},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the server", Required: true, Destination: &dataCentre},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			h := inventory.ListedHost{
				ID: inventory.HostID(id), Role: inventory.RoleBackend, State: inventory.HostLive,
				DataCentre: inventory.DataCentreID(dataCentre), Service: inventory.ServiceID(service), Address: address,
			}
			s := backend.New(backend.Options{
				ID: inventory.InstanceID(id), Service: h.Service, ServiceTime: backendServiceTime,
				Slots: configuration.DefaultSlots, Connections: configuration.DefaultConnections,
			})
			return serve(ctx, address, func(l net.Listener) error {
				if err := registerHost(platformAddress, h); err != nil {
					return err
				}
				return s.Serve(l)
			})
		},
	}
}

// registerHost adds a host to the platform's host list.
func registerHost(platformAddress string, h inventory.ListedHost) error {
	b, err := json.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "encoding the host")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + platformAddress + "/hosts")
	req.SetBodyRaw(b)
	if err := fasthttp.DoTimeout(req, resp, registerTimeout); err != nil {
		return eris.Wrapf(err, "registering %s with the platform", h.ID)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("registering %s with the platform: status %d: %s", h.ID, resp.StatusCode(), resp.Body())
	}
	return nil
}
