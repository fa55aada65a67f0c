// Package host puts the tasks of an entry host together and runs them.
package host

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/backend"
	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/entry/certificate"
	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/keeper"
	"github.com/godwitcross/godwitcross/entry/lifecycle"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/peer"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/settings"
	"github.com/godwitcross/godwitcross/entry/snapshot"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// batchQueue is how many batches wait for the follower. A full queue holds the
// reader back.
const batchQueue = 16

// readPace is the time between two reads of the global stream while records keep
// coming. It bounds the bytes of reading, and is small against the 5 s in which a
// change is in force.
const readPace = 250 * time.Millisecond

// Task is one task of an entry host. It owns its sockets and its state.
type Task interface {
	// Name returns what the task is called in logs.
	Name() string
	// Run works until the context ends. An error ends the whole host.
	Run(ctx context.Context) error
}

// Config is what a host is built from.
type Config struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
	// Dial opens all outgoing connections of the host.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Host is one entry host.
type Host struct {
	cfg       Config
	log       logrus.FieldLogger
	state     *view.Box[follower.State]
	hosts     *view.Box[inventory.HostList]
	metrics   *metric.Registry
	readiness *lifecycle.Readiness
	backends  *backend.Pool
	caller    *caller.Server
	callers   *fasthttp.Server
	operators *fasthttp.Server
	follower  *follower.Follower
	loader    *snapshot.Loader
	peers     *view.Box[peer.View]
	exchanger *peer.Exchanger
	relay     *peer.Relay
	peering   *peer.Server
	client    *peer.Client
	// peerKeys is nil where peers speak plain text. It is set before any task runs.
	peerKeys *certificate.Store
	tasks    []Task
	// last are tasks that end after all others have ended.
	last []Task
}

// New returns a host that listens on nothing yet.
func New(cfg Config) *Host {
	cfg.Settings = cfg.Settings.WithDefaults()
	h := &Host{
		cfg:       cfg,
		log:       cfg.Log.WithFields(logrus.Fields{"Entry": cfg.Settings.Name, "DataCentre": cfg.Settings.DataCentre}),
		state:     view.NewBox(follower.State{}),
		hosts:     view.NewBox(inventory.HostList{}),
		metrics:   metric.NewRegistry(),
		readiness: lifecycle.NewReadiness("starting"),
		backends:  backend.NewPool(cfg.Dial),
	}
	services := platform.NewClient(cfg.Settings.PlatformAddress, cfg.Dial)
	records := h.newAppender(services)
	h.last = []Task{records}
	requests := h.newRequests(services)
	batches := make(chan platform.Batch, batchQueue)
	h.join(services, batches)
	jobs := h.newJobs(services, records)
	bills := h.newBills(services, records)
	h.operators = h.newOperators(records, slices.Concat(peer.Routes(h.peers), keeper.Routes(h.state), jobs.Routes(), bills.Routes()))
	h.checkClients()
	h.tasks = slices.Concat(
		requests,
		h.fleetTasks(services, records, batches),
		tasksOf(jobs.Tasks()),
		tasksOf(bills.Tasks()),
	)
	return h
}

// entryHosts returns the entry hosts that may hold global duties.
func (h *Host) entryHosts() []inventory.EntryID {
	return membership.Candidates(h.cfg.Settings.Name, "", h.hosts.Latest(), h.peers.Latest().Peers)
}

// siteHosts returns the entry hosts that may hold duties of this host's data centre.
func (h *Host) siteHosts() []inventory.EntryID {
	return membership.Candidates(h.cfg.Settings.Name, h.cfg.Settings.DataCentre, h.hosts.Latest(), h.peers.Latest().Peers)
}

// Run serves until the context ends, then stops without cutting off a request.
func (h *Host) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", h.cfg.Settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	operators, err := net.Listen("tcp", h.cfg.Settings.OperatorAddress)
	if err != nil {
		return eris.Wrap(err, "listening for operators")
	}
	peers, err := net.Listen("tcp", h.cfg.Settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	return h.Serve(ctx, Listeners{Callers: callers, Operators: operators, Peers: peers})
}

// Listeners are open sockets that a host serves on.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Serve is Run on listeners that are open already.
func (h *Host) Serve(ctx context.Context, l Listeners) error {
	l, err := h.encrypt(l, time.Now())
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, work := errgroup.WithContext(work)
	later, stopLater := context.WithCancel(context.Background())
	defer stopLater()
	var last errgroup.Group
	for _, t := range h.last {
		last.Go(func() error { return eris.Wrapf(t.Run(later), "task %s", t.Name()) })
	}
	for _, t := range h.tasks {
		g.Go(func() error { return eris.Wrapf(t.Run(work), "task %s", t.Name()) })
	}
	g.Go(func() error { return eris.Wrap(h.callers.Serve(l.Callers), "serving callers") })
	g.Go(func() error { return eris.Wrap(h.operators.Serve(l.Operators), "serving operators") })
	g.Go(func() error { return h.peering.Serve(l.Peers) })
	h.log.WithFields(logrus.Fields{"Callers": l.Callers.Addr().String(), "Operators": l.Operators.Addr().String(), "Peers": l.Peers.Addr().String()}).Info("listening")
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	h.stop()
	stop()
	h.peering.Close()
	err = g.Wait()
	h.client.Close()
	stopLater()
	return errors.Join(err, last.Wait())
}

// stop ends serving in the order that cuts off nothing.
func (h *Host) stop() {
	lifecycle.NewStopper(lifecycle.StopConfig{
		Log: h.log, Readiness: h.readiness,
		NoticeTime: h.cfg.Settings.NoticeTime, StopTime: h.cfg.Settings.StopTime,
		Callers: h.callers, Operators: h.operators,
		InFlight: h.caller.InFlight, Wait: time.Sleep,
	}).Stop()
	h.backends.Close()
	h.log.Info("stopped")
}
