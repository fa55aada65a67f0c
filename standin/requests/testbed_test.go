// Package requests tests the handling of failed requests with entry hosts and backend
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

// testbed is a simulated platform and network with entry hosts and backend servers.
type testbed struct {
	t        testing.TB
	net      *network.Network
	platform *standin.Platform
	address  string
	objects  configuration.Objects
	version  configuration.Version
	list     []inventory.ListedHost
	entries  []*entryHost
}

// newTestbed returns a testbed without hosts and servers.
func newTestbed(t testing.TB) *testbed {
	tb := &testbed{t: t, version: 1, net: network.New(), platform: standin.New(standin.Options{})}
	l := tb.listen(zonePlatform)
	tb.address = l.Addr().String()
	go func() { _ = tb.platform.Serve(l) }()
	tb.objects = configuration.Objects{
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
	return tb
}

// listen opens a loopback listener and places it in the zone.
func (tb *testbed) listen(zone network.Zone) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb.t, err)
	tb.t.Cleanup(func() { _ = l.Close() })
	tb.net.Place(l.Addr().String(), zone)
	return l
}

// addServer adds a backend server with the address to the host list.
func (tb *testbed) addServer(id string, dc inventory.DataCentreID, address string) {
	tb.net.Place(address, network.Zone(dc))
	tb.list = append(tb.list, inventory.ListedHost{
		ID: inventory.HostID(id), Role: inventory.RoleBackend, State: inventory.HostLive, DataCentre: dc, Service: "Bells", Address: address,
	})
	tb.publish()
}

// setState changes the state of a server in the host list.
func (tb *testbed) setState(id string, s inventory.HostState) {
	for i := range tb.list {
		if tb.list[i].ID == inventory.HostID(id) {
			tb.list[i].State = s
		}
	}
	tb.publish()
}

// publish sends the host list to all entry hosts.
func (tb *testbed) publish() {
	for _, e := range tb.entries {
		e.hosts.Publish(inventory.HostList{At: time.Now(), Hosts: append([]inventory.ListedHost(nil), tb.list...)})
	}
}

// entryHost is the part of an entry host that serves callers.
type entryHost struct {
	testbed  *testbed
	address  string
	hosts    *view.Value[inventory.HostList]
	metrics  *metric.Registry
	server   *caller.Server
	http     *fasthttp.Server
	stop     context.CancelFunc
	stopping atomic.Bool
}

// addEntry starts an entry host and adds it to the host list.
func (tb *testbed) addEntry(name inventory.EntryID, dc inventory.DataCentreID) *entryHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := tb.net.Dialer(network.Zone(dc))
	e := &entryHost{testbed: tb, hosts: view.NewValue(inventory.HostList{}), metrics: metric.NewRegistry()}
	state := view.NewValue(follower.State{Configuration: configuration.Configuration{Version: tb.version, Objects: tb.objects}})
	pool := backend.NewPool(dial)
	dispatcher := caller.NewDispatcher(dispatch.New(dispatch.Config{
		Name: name, DataCentre: dc, Order: admission.EarliestDeadlineFirst,
		Retries: retry.DefaultBudget, Random: rand.New(rand.NewPCG(1, 1)),
	}), state, e.hosts, pool)
	claims := claimer.New(claimer.Config{Log: log, Name: name, Records: platform.NewClient(tb.address, dial)})
	e.server = caller.NewServer(caller.Config{
		Log: log, Metrics: e.metrics, State: state, Pool: pool, Dispatcher: dispatcher, Claims: claims, Stopping: e.stopping.Load,
	})
	e.http = e.server.HTTP()
	l := tb.listen(network.Zone(dc))
	e.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	tb.t.Cleanup(stop)
	go func() { _ = dispatcher.Run(ctx) }()
	go func() { _ = claims.Run(ctx) }()
	go func() { _ = e.http.Serve(l) }()
	tb.list = append(tb.list, inventory.ListedHost{ID: inventory.HostID(name), Role: inventory.RoleEntry, State: inventory.HostLive, DataCentre: dc})
	tb.entries = append(tb.entries, e)
	tb.publish()
	return e
}

// crash stops the entry host without notice.
func (e *entryHost) crash() {
	e.stop()
	_ = e.http.Shutdown()
}

// request is a request of a caller; empty fields have defaults.
type request struct {
	method   string
	path     string
	tenant   string
	key      string
	body     string
	deadline time.Duration
	header   map[string]string
}

// response is the response that a caller received.
type response struct {
	status                   int
	outcome, reason, retryIn string
	kept                     bool
	body                     string
	closes                   bool
}

// send sends the request and returns the response. An error fails the test.
func (e *entryHost) send(r request) response {
	a, err := e.trySend(r)
	require.NoError(e.testbed.t, err)
	return a
}

// trySend sends the request and returns the response or an error.
func (e *entryHost) trySend(r request) (response, error) {
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
		return response{}, fmt.Errorf("sending the request: %w", err)
	}
	return response{
		status: resp.StatusCode(), body: string(resp.Body()), closes: resp.ConnectionClose(),
		outcome: string(resp.Header.Peek(caller.HeaderOutcome)), reason: string(resp.Header.Peek(caller.HeaderReason)),
		retryIn: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), kept: len(resp.Header.Peek(caller.HeaderKept)) > 0,
	}, nil
}
