// Package requests brings the failures of requests about, with entry hosts and
// servers on loopback sockets.
package requests

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/entry/claimer"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/standin/network"
	standin "github.com/godwitcross/godwitcross/standin/platform"
)

const zonePlatform network.Zone = "platform"

// world is a platform, a network and entry hosts.
type world struct {
	t        testing.TB
	net      *network.Network
	platform *standin.Platform
	address  string
	objects  configuration.Objects
	version  configuration.Version
	list     []inventory.ListedHost
	entries  []*entryHost
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, version: 1, net: network.New(), platform: standin.New(standin.Options{})}
	l := w.listen(zonePlatform)
	w.address = l.Addr().String()
	go func() { _ = w.platform.Serve(l) }()
	w.objects = configuration.Objects{
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{"Palermo": {Region: "Sicily"}, "Catania": {Region: "Sicily"}},
		Services: map[inventory.ServiceID]configuration.Service{"Bells": {
			Classes:      map[inventory.ClassID]configuration.Class{"Urgent": {Urgent: true}, "Standard": {}},
			DefaultClass: "Standard", MaxBody: 64 * inventory.Kibibyte,
		}},
		Tenants: map[inventory.TenantID]configuration.Tenant{
			"Secretaries": {Services: map[inventory.ServiceID]inventory.ClassID{"Bells": ""}},
			"Editors":     {Services: map[inventory.ServiceID]inventory.ClassID{"Bells": "Urgent"}},
		},
	}.WithDefaults()
	return w
}

func (w *world) listen(zone network.Zone) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = l.Close() })
	w.net.Place(l.Addr().String(), zone)
	return l
}

// addServer lists a backend server at the address.
func (w *world) addServer(id string, dc inventory.DataCentreID, address string) {
	w.net.Place(address, network.Zone(dc))
	w.list = append(w.list, inventory.ListedHost{
		ID: inventory.HostID(id), Role: inventory.RoleBackend, State: inventory.HostLive, DataCentre: dc, Service: "Bells", Address: address,
	})
	w.publish()
}

// setState changes what the host list says of a server.
func (w *world) setState(id string, s inventory.HostState) {
	for i := range w.list {
		if w.list[i].ID == inventory.HostID(id) {
			w.list[i].State = s
		}
	}
	w.publish()
}

func (w *world) publish() {
	for _, e := range w.entries {
		e.hosts.Publish(inventory.HostList{At: time.Now(), Hosts: append([]inventory.ListedHost(nil), w.list...)})
	}
}

// entryHost is the part of an entry host that serves callers.
type entryHost struct {
	w        *world
	address  string
	hosts    *view.Value[inventory.HostList]
	metrics  *metric.Registry
	server   *caller.Server
	http     *fasthttp.Server
	stop     context.CancelFunc
	stopping atomic.Bool
}

// addEntry starts an entry host.
func (w *world) addEntry(name inventory.EntryID, dc inventory.DataCentreID) *entryHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := w.net.Dialer(network.Zone(dc))
	e := &entryHost{w: w, hosts: view.NewValue(inventory.HostList{}), metrics: metric.NewRegistry()}
	state := view.NewValue(follower.State{Configuration: configuration.Configuration{Version: w.version, Objects: w.objects}})
	pool := backend.NewPool(dial)
	dispatcher := caller.NewDispatcher(dispatch.New(dispatch.Config{
		Name: name, DataCentre: dc, Order: admission.EarliestDeadlineFirst,
		Retries: retry.DefaultBudget, Random: rand.New(rand.NewPCG(1, 1)),
	}), state, e.hosts, pool)
	claims := claimer.New(claimer.Config{Log: log, Name: name, Records: platform.NewClient(w.address, dial)})
	e.server = caller.NewServer(caller.Config{
		Log: log, Metrics: e.metrics, State: state, Pool: pool, Dispatcher: dispatcher, Claims: claims, Stopping: e.stopping.Load,
	})
	e.http = e.server.HTTP()
	l := w.listen(network.Zone(dc))
	e.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	w.t.Cleanup(stop)
	go func() { _ = dispatcher.Run(ctx) }()
	go func() { _ = claims.Run(ctx) }()
	go func() { _ = e.http.Serve(l) }()
	w.list = append(w.list, inventory.ListedHost{ID: inventory.HostID(name), Role: inventory.RoleEntry, State: inventory.HostLive, DataCentre: dc})
	w.entries = append(w.entries, e)
	w.publish()
	return e
}

// kill ends an entry host without any notice.
func (e *entryHost) kill() {
	e.stop()
	_ = e.http.Shutdown()
}

// request is one request of a caller.
type request struct {
	method   string
	path     string
	tenant   string
	key      string
	body     string
	deadline time.Duration
	header   map[string]string
}

// answer is what a caller got.
type answer struct {
	status                   int
	outcome, reason, retryIn string
	kept                     bool
	body                     string
	closes                   bool
}

// send sends a request and returns the answer; an error fails the test.
func (e *entryHost) send(r request) answer {
	a, err := e.trySend(r)
	require.NoError(e.w.t, err)
	return a
}

func (e *entryHost) trySend(r request) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	if r.path == "" {
		r.path = "/services/Bells/day"
	}
	req.SetRequestURI("http://" + e.address + r.path)
	if r.tenant == "" {
		r.tenant = "Secretaries"
	}
	req.Header.Set(caller.HeaderTenant, r.tenant)
	if r.key != "" {
		req.Header.Set(caller.HeaderKey, r.key)
	}
	if r.deadline > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	if r.body != "" {
		req.SetBodyString(r.body)
	}
	c := fasthttp.HostClient{Addr: e.address, MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	if err := c.DoTimeout(req, resp, time.Minute); err != nil {
		return answer{}, fmt.Errorf("sending: %w", err)
	}
	return answer{
		status: resp.StatusCode(), body: string(resp.Body()), closes: resp.ConnectionClose(),
		outcome: string(resp.Header.Peek(caller.HeaderOutcome)), reason: string(resp.Header.Peek(caller.HeaderReason)),
		retryIn: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), kept: len(resp.Header.Peek(caller.HeaderKept)) > 0,
	}, nil
}
