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

// Names and limits in the configuration of the measurement.
const (
	tenantName  inventory.TenantID  = "Callers"
	serviceName inventory.ServiceID = "Service"
	slots                           = inventory.Slots(64)
	// connectionLimit is high enough to serve direct callers as well.
	connectionLimit = inventory.Connections(10_000)
)

// environment runs one entry host, one backend server and the platform stand-in on
// loopback addresses.
type environment struct {
	// entry and server are the addresses that accept callers' requests.
	entry, server string
	stop          context.CancelFunc
	listeners     []net.Listener
}

func (e *environment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listening on the loopback address")
	}
	e.listeners = append(e.listeners, l)
	return l, nil
}

// newEnvironment starts an environment whose backend server answers immediately.
func newEnvironment() (*environment, error) {
	env := &environment{}
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := env.listen()
		if err != nil {
			return nil, err
		}
		listeners[i] = l
	}
	serverListener, platformListener, callerListener := listeners[0], listeners[1], listeners[2]
	env.server, env.entry = serverListener.Addr().String(), callerListener.Addr().String()
	go func() {
		_ = server.New(server.Options{ID: "server", Service: serviceName, Slots: slots, Connections: connectionLimit}).Serve(serverListener)
	}()
	go func() { _ = standin.New(standin.Options{}).Serve(platformListener) }()
	env.startEntry(callerListener, platformListener.Addr().String())
	return env, nil
}

func (e *environment) startEntry(l net.Listener, platformAddress string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var d net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	state := view.NewValue(follower.State{Configuration: configuration.Configuration{Version: 1, Objects: e.objects()}})
	hosts := view.NewValue(inventory.HostList{At: time.Now(), Hosts: []inventory.ListedHost{
		{ID: "server", Role: inventory.RoleBackend, State: inventory.HostLive, Service: serviceName, Address: e.server},
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
	e.stop = stop
	go func() { _ = dispatcher.Run(ctx) }()
	go func() { _ = claims.Run(ctx) }()
	go func() { _ = http.Serve(l) }()
}

func (e *environment) objects() configuration.Objects {
	return configuration.Objects{
		Services: map[inventory.ServiceID]configuration.Service{serviceName: {Slots: slots, Connections: connectionLimit}},
		Tenants: map[inventory.TenantID]configuration.Tenant{
			tenantName: {Services: map[inventory.ServiceID]inventory.ClassID{serviceName: ""}, MaxInFlight: configuration.MaxInFlight},
		},
	}.WithDefaults()
}

// close stops the entry host and closes all listeners.
func (e *environment) close() {
	e.stop()
	for _, l := range e.listeners {
		_ = l.Close()
	}
}

// newRequest returns a request that both the entry host and the server accept.
func newRequest(address, method string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.Header.SetMethod(method)
	r.SetRequestURI("http://" + address + "/services/" + string(serviceName) + "/x")
	r.Header.Set(caller.HeaderTenant, string(tenantName))
	return r
}
