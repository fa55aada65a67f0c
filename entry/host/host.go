// Package host assembles an entry host from its tasks and servers and runs it.
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

// batchQueueLength is how many batches can wait for the follower. A full queue blocks
// the reader.
const batchQueueLength = 16

// readInterval is the time between two reads of the global stream while new records
// arrive. It limits the read traffic and is short compared with the 5 s within which
// a change must be in force.
const readInterval = 250 * time.Millisecond

// Task is a background task of an entry host. It owns its sockets and its state.
type Task interface {
	// Name returns the task's name for errors and logs.
	Name() string
	// Run runs the task until the context is done. An error stops the whole host.
	Run(ctx context.Context) error
}

// Config configures a Host.
type Config struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
	// Dial opens every outgoing connection of the host.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Host is one entry host.
type Host struct {
	cfg            Config
	log            logrus.FieldLogger
	state          *view.Value[follower.State]
	hosts          *view.Value[inventory.HostList]
	metrics        *metric.Registry
	readiness      *lifecycle.Readiness
	backends       *backend.Pool
	callerService  *caller.Server
	callerServer   *fasthttp.Server
	operatorServer *fasthttp.Server
	follower       *follower.Follower
	loader         *snapshot.Loader
	peers          *view.Value[peer.View]
	exchanger      *peer.Exchanger
	relay          *peer.Relay
	peerServer     *peer.Server
	peerClient     *peer.Client
	// peerCertificates is nil if peers use plain text. It is set before any task runs.
	peerCertificates *certificate.Store
	tasks            []Task
	// finalTasks are stopped after all other tasks have ended.
	finalTasks []Task
}

// New returns a host. It opens no listeners.
func New(cfg Config) *Host {
	cfg.Settings = cfg.Settings.WithDefaults()
	h := &Host{
		cfg:       cfg,
		log:       cfg.Log.WithFields(logrus.Fields{"Entry": cfg.Settings.Name, "DataCentre": cfg.Settings.DataCentre}),
		state:     view.NewValue(follower.State{}),
		hosts:     view.NewValue(inventory.HostList{}),
		metrics:   metric.NewRegistry(),
		readiness: lifecycle.NewReadiness("starting"),
		backends:  backend.NewPool(cfg.Dial),
	}
	platformClient := platform.NewClient(cfg.Settings.PlatformAddress, cfg.Dial)
	records := h.newAppender(platformClient)
	h.finalTasks = []Task{records}
	requests := h.newCallerService(platformClient)
	batches := make(chan platform.Batch, batchQueueLength)
	h.initReplication(platformClient, batches)
	jobs := h.newPlacement(platformClient, records)
	bills := h.newUsage(platformClient, records)
	h.operatorServer = h.newOperatorServer(records, slices.Concat(peer.Routes(h.peers), keeper.Routes(h.state), jobs.Routes(), bills.Routes()))
	h.authenticateClients()
	h.tasks = slices.Concat(
		requests,
		h.fleetTasks(platformClient, records, batches),
		asTasks(jobs.Tasks()),
		asTasks(bills.Tasks()),
	)
	return h
}

// entryHosts returns the entry hosts that are candidates for global duties.
func (h *Host) entryHosts() []inventory.EntryID {
	return membership.Candidates(h.cfg.Settings.Name, "", h.hosts.Latest(), h.peers.Latest().Peers)
}

// dataCentreHosts returns the entry hosts that are candidates for the duties of this
// host's data centre.
func (h *Host) dataCentreHosts() []inventory.EntryID {
	return membership.Candidates(h.cfg.Settings.Name, h.cfg.Settings.DataCentre, h.hosts.Latest(), h.peers.Latest().Peers)
}

// Run opens the listeners and serves until the context is done. Then it shuts down
// and lets requests in flight complete within the StopTime of the settings.
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

// Listeners are the open listeners that a host serves on.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Serve is like Run, but takes listeners that are already open.
func (h *Host) Serve(ctx context.Context, l Listeners) error {
	l, err := h.encryptListeners(l, time.Now())
	if err != nil {
		return err
	}
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	g, taskCtx := errgroup.WithContext(taskCtx)
	finalCtx, stopFinal := context.WithCancel(context.Background())
	defer stopFinal()
	var final errgroup.Group
	for _, t := range h.finalTasks {
		final.Go(func() error { return eris.Wrapf(t.Run(finalCtx), "task %s", t.Name()) })
	}
	for _, t := range h.tasks {
		g.Go(func() error { return eris.Wrapf(t.Run(taskCtx), "task %s", t.Name()) })
	}
	g.Go(func() error { return eris.Wrap(h.callerServer.Serve(l.Callers), "serving callers") })
	g.Go(func() error { return eris.Wrap(h.operatorServer.Serve(l.Operators), "serving operators") })
	g.Go(func() error { return h.peerServer.Serve(l.Peers) })
	h.log.WithFields(logrus.Fields{"Callers": l.Callers.Addr().String(), "Operators": l.Operators.Addr().String(), "Peers": l.Peers.Addr().String()}).Info("listening")
	select {
	case <-ctx.Done():
	case <-taskCtx.Done():
	}
	h.shutDown()
	stopTasks()
	h.peerServer.Close()
	err = g.Wait()
	h.peerClient.Close()
	stopFinal()
	return errors.Join(err, final.Wait())
}

// shutDown stops the servers for callers and operators, in an order that interrupts
// no request within the stop time.
func (h *Host) shutDown() {
	lifecycle.NewStopper(lifecycle.StopConfig{
		Log: h.log, Readiness: h.readiness,
		NoticeTime: h.cfg.Settings.NoticeTime, StopTime: h.cfg.Settings.StopTime,
		Callers: h.callerServer, Operators: h.operatorServer,
		InFlight: h.callerService.InFlight, Wait: time.Sleep,
	}).Stop()
	h.backends.Close()
	h.log.Info("stopped")
}
