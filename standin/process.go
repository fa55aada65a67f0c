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

// Behaviour of the stand-ins as processes of their own.
const (
	appendsPerSecond = 400
	listDelay        = 300 * time.Millisecond
	listTimeout      = 5 * time.Second
	backendWork      = 5 * time.Millisecond
)

// serve serves on an address until the context ends.
func serve(ctx context.Context, address string, run func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening")
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	return run(l)
}

func newPlatform() *cli.Command {
	var address string
	return &cli.Command{
		Name: "platform", Usage: "run the platform's stand-in as a process of its own",
		Description: "It has the workers of the sample configuration. POST /hosts lists entry hosts and backend servers.\n\nExample: standin platform --address 127.0.0.1:8090",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "address", Usage: "IP:port to serve on", Value: "127.0.0.1:8090", Destination: &address}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			p := platform.New(platform.Options{AppendsPerSecond: appendsPerSecond, ListDelay: listDelay})
			for id, h := range deployment.Sample().Hosts {
				p.Fleet.Put(inventory.WorkerInfo{ID: id.Worker(), DataCentre: h.DataCentre, Rack: h.Rack, Size: h.Size})
				p.Hosts.Put(time.Now(), inventory.ListedHost{ID: id, Role: inventory.RoleWorker, State: inventory.HostLive, DataCentre: h.DataCentre, Rack: h.Rack})
			}
			return serve(ctx, address, p.Serve)
		},
	}
}

func newBackend() *cli.Command {
	var address, platformAddress, id, service, dataCentre string
	return &cli.Command{
		Name: "backend", Usage: "run a backend server as a process of its own and list it at the platform",
		Description: "Example: standin backend --id s1 --service Prices --data-centre Montevideo-1 --address 127.0.0.1:9001",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "IP:port to serve on", Required: true, Destination: &address},
			&cli.StringFlag{Name: "platform-address", Usage: "IP:port of the platform", Value: "127.0.0.1:8090", Destination: &platformAddress},
			&cli.StringFlag{Name: "id", Usage: "unique name of the server", Required: true, Destination: &id},
			&cli.StringFlag{Name: "service", Usage: "service that it answers for", Required: true, Destination: &service},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre that it stands in", Required: true, Destination: &dataCentre},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			h := inventory.ListedHost{
				ID: inventory.HostID(id), Role: inventory.RoleBackend, State: inventory.HostLive,
				DataCentre: inventory.DataCentreID(dataCentre), Service: inventory.ServiceID(service), Address: address,
			}
			s := backend.New(backend.Options{
				ID: inventory.InstanceID(id), Service: h.Service, ServiceTime: backendWork,
				Slots: configuration.DefaultSlots, Connections: configuration.DefaultConnections,
			})
			return serve(ctx, address, func(l net.Listener) error {
				if err := listAt(platformAddress, h); err != nil {
					return err
				}
				return s.Serve(l)
			})
		},
	}
}

// listAt puts a host on the platform's host list.
func listAt(platformAddress string, h inventory.ListedHost) error {
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
	if err := fasthttp.DoTimeout(req, resp, listTimeout); err != nil {
		return eris.Wrapf(err, "listing %s at the platform", h.ID)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("listing %s at the platform: status %d: %s", h.ID, resp.StatusCode(), resp.Body())
	}
	return nil
}
