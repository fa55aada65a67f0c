package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
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
	server "github.com/godwitcross/godwitcross/standin/backend"
	standin "github.com/godwitcross/godwitcross/standin/platform"
)

// Names in the configuration of the measurement.
const (
	tenantName  inventory.TenantID  = "Callers"
	serviceName inventory.ServiceID = "Service"
	slots                           = inventory.Slots(64)
	// connectionLimit leaves connections for the callers that go straight.
	connectionLimit = inventory.Connections(10_000)
)

// site is one entry host, one backend server and the platform on loopback.
type site struct {
	// entry and server are the addresses for callers.
	entry, server string
	stop          context.CancelFunc
	listeners     []net.Listener
}

func (s *site) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listening on the loopback address")
	}
	s.listeners = append(s.listeners, l)
	return l, nil
}

// newSite starts a site. The server answers at once.
func newSite() (*site, error) {
	s := &site{}
	var addresses [3]net.Listener
	for i := range addresses {
		l, err := s.listen()
		if err != nil {
			return nil, err
		}
		addresses[i] = l
	}
	servers, platforms, callers := addresses[0], addresses[1], addresses[2]
	s.server, s.entry = servers.Addr().String(), callers.Addr().String()
	go func() {
		_ = server.New(server.Options{ID: "server", Service: serviceName, Slots: slots, Connections: connectionLimit}).Serve(servers)
	}()
	go func() { _ = standin.New(standin.Options{}).Serve(platforms) }()
	s.startEntry(callers, platforms.Addr().String())
	return s, nil
}

func (s *site) startEntry(l net.Listener, platformAddress string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var d net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	state := view.NewValue(follower.State{Configuration: configuration.Configuration{Version: 1, Objects: s.objects()}})
	hosts := view.NewValue(inventory.HostList{At: time.Now(), Hosts: []inventory.ListedHost{
		{ID: "server", Role: inventory.RoleBackend, State: inventory.HostLive, Service: serviceName, Address: s.server},
	}})
	pool := backend.NewPool(dial)
	dispatcher := caller.NewDispatcher(dispatch.New(dispatch.Config{
		Name: "entry", Order: admission.EarliestDeadlineFirst, Retries: retry.DefaultBudget, Random: rand.New(rand.NewPCG(1, 1)),
	}), state, hosts, pool)
	claims := claimer.New(claimer.Config{Log: log, Name: "entry", Records: platform.NewClient(platformAddress, dial)})
	http := caller.NewServer(caller.Config{
		Log: log, Metrics: metric.NewRegistry(), State: state, Pool: pool, Dispatcher: dispatcher, Claims: claims,
		Stopping: func() bool { return false },
	}).HTTP()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { _ = dispatcher.Run(ctx) }()
	go func() { _ = claims.Run(ctx) }()
	go func() { _ = http.Serve(l) }()
}

func (s *site) objects() configuration.Objects {
	return configuration.Objects{
		Services: map[inventory.ServiceID]configuration.Service{serviceName: {Slots: slots, Connections: connectionLimit}},
		Tenants: map[inventory.TenantID]configuration.Tenant{
			tenantName: {Services: map[inventory.ServiceID]inventory.ClassID{serviceName: ""}, MaxInFlight: configuration.MaxInFlight},
		},
	}.WithDefaults()
}

// close ends the site.
func (s *site) close() {
	s.stop()
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// newRequest returns a request that the entry host and the server both take.
func newRequest(address, method string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.Header.SetMethod(method)
	r.SetRequestURI("http://" + address + "/services/" + string(serviceName) + "/x")
	r.Header.Set(caller.HeaderTenant, string(tenantName))
	return r
}
