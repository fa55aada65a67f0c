// Package node wires up and runs the tasks of one entry host: handling callers' requests,
// following the configuration, talking to other entry hosts and, on the leader, running
// the scheduler. It belongs to the program godwitcross; entry/host assembles the entry host
// of the program entry.
package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/election"
	"github.com/godwitcross/godwitcross/entry/intake"
	"github.com/godwitcross/godwitcross/entry/leader"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/publication"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
	"github.com/godwitcross/godwitcross/fleet/shedding"
)

const (
	// helloInterval is how often a host announces itself to the leader.
	helloInterval = 3 * time.Second
	// helloRetryInterval is how often a host that can't reach a leader announces itself to
	// the seeds.
	helloRetryInterval = 300 * time.Millisecond
	// peerTTL is how long a peer stays known after its last hello.
	peerTTL = 12 * time.Second
	// maxHeartbeatAge is the oldest heartbeat with which a leader still gets appends to
	// coalesce. A slow store delivers heartbeats a second late.
	maxHeartbeatAge = 2500 * time.Millisecond
	// maxContactAge is how long a host stays ready after the last claim or heartbeat it read.
	maxContactAge = 6 * time.Second
)

// Config holds a node's settings and dependencies.
type Config struct {
	Self relay.Peer
	// Seeds are the initial addresses of entry hosts; some may no longer exist.
	Seeds []string
	// Direct accesses the store from this host without a peer.
	Direct     store.Store
	Relay      *relay.Client
	Workers    leader.Workers
	Hosts      leader.Hosts
	Adviser    leader.Adviser
	Decoder    leader.Decoder
	Log        logrus.FieldLogger
	Metrics    *metric.Registry
	Now        func() time.Time
	Wall       func() int64
	Scheduling scheduling.Config
	// StoreLimits are the store's limits; those that are 0 get defaults.
	StoreLimits store.Limits
	// DataCentres lists the data centres that run jobs, in the same order on all hosts.
	DataCentres []string
	// RequireKeys and MaxKeyAge are those of intake.Config.
	RequireKeys bool
	MaxKeyAge   time.Duration
}

// Node is one entry host.
type Node struct {
	cfg       Config
	store     *relay.Store
	hedger    *store.Hedger
	candidate *election.Candidate
	follower  *publication.Follower
	batcher   *intake.Batcher
	intake    *intake.Intake
	server    *relay.Server
	// workspaces bounds the names of workspaces in metrics.
	workspaces *metric.Names
	// leader is set while this host is the leader.
	leader atomic.Pointer[leader.Leader]

	mu sync.Mutex
	// peers are the hosts that sent a hello, by name; guarded by mu.
	peers map[string]seenPeer
	// seedAddresses are the entry hosts' addresses from the settings; guarded by mu.
	seedAddresses []string
}

type seenPeer struct {
	relay.Peer
	seenAt time.Time
}

// New returns a node with all its components wired up.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, peers: make(map[string]seenPeer), seedAddresses: cfg.Seeds, workspaces: metric.NewNames(metric.MaxNames)}
	hedger := store.NewHedger(cfg.Direct)
	hedger.HedgesUnfenced = func() bool { _, ok := n.coalescingHost(); return !ok }
	n.hedger = hedger
	// From here on, Direct is coalesced and hedged for all components that get it.
	cfg.Direct = store.NewCoalescer(hedger)
	n.store = relay.NewStore(relay.StoreConfig{
		Direct: cfg.Direct, Client: cfg.Relay, Peers: n.otherPeers, Log: cfg.Log,
		Coalescing: &relay.Coalescing{
			Host: n.coalescingHost, IsSlow: n.isStoreSlow, HedgeDelay: hedger.HedgeDelay, ObserveLatency: hedger.ObserveLatency,
		},
	})
	n.candidate = election.NewCandidate(election.Config{
		Self: cfg.Self, Direct: cfg.Direct, Store: n.store, Log: cfg.Log, Now: cfg.Now, Lead: n.lead,
	})
	n.follower = publication.NewFollower(publication.Config{
		Store: n.store, Decode: n.decodeConfiguration, Log: cfg.Log, Now: cfg.Now, OnConfiguration: n.configure,
	})
	n.batcher = intake.NewBatcher(n.store, cfg.Log, cfg.Metrics)
	n.intake = intake.New(intake.Config{
		Follower: n.follower, Batcher: n.batcher, Resolver: n, Log: cfg.Log, Metrics: cfg.Metrics, Wall: cfg.Wall,
		DataCentres: cfg.DataCentres, StoreLimits: cfg.StoreLimits, Now: cfg.Now, RequireKeys: cfg.RequireKeys, MaxKeyAge: cfg.MaxKeyAge,
		Workspaces: n.workspaces, UnderPressure: cfg.Scheduling.UnderPressure, Delays: n.delay,
	})
	n.server = relay.NewServer(relay.ServerConfig{Log: cfg.Log, Store: cfg.Direct, Resolver: n, Hello: n.recordHello, Leading: n.leading})
	return n
}

// Intake returns the handler of callers' requests.
func (n *Node) Intake() *intake.Intake {
	return n.intake
}

// Server returns the handler of requests from other entry hosts.
func (n *Node) Server() *relay.Server {
	return n.server
}

// Limits returns the limits on callers' requests from the latest configuration, or no
// limits before one was read.
func (n *Node) Limits() queue.Limits {
	if c := n.follower.Current(); c != nil {
		return c.Limits
	}
	return queue.Limits{}
}

// Run runs the host's tasks until ctx ends. leaderCtx bounds leadership and ends first, so
// that the next leader is elected while this host still answers callers.
func (n *Node) Run(ctx, leaderCtx context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(){
		func() { n.follower.Run(ctx) },
		func() { n.batcher.Run(ctx) },
		func() { n.candidate.Run(leaderCtx) },
		func() { n.sendHellos(ctx) },
	} {
		wg.Go(task)
	}
	wg.Wait()
}

func (n *Node) decodeConfiguration(r store.Record) (*queue.Configuration, error) {
	p, err := n.cfg.Decoder.Publication(r)
	return p.Configuration, err
}

// configure passes a configuration to the scheduler if this host is the leader. The
// follower calls it, also for a configuration that the leader has read itself and passed to
// Adopt. The scheduler ignores the second copy because its version isn't newer.
func (n *Node) configure(c *queue.Configuration) {
	if l := n.leader.Load(); l != nil {
		go l.Configure(c)
	}
}

// lead runs the scheduler while this host leads in the given epoch.
func (n *Node) lead(ctx context.Context, epoch int64, claim election.Claim, previous election.PreviousLeader) error {
	cfg := n.cfg.Scheduling
	cfg.PreviousHeartbeatAge = previous.HeartbeatAge
	cfg.Previous = previous.Leases
	l := leader.New(leader.Config{
		Self: n.cfg.Self, Store: n.store, Workers: n.cfg.Workers, Hosts: n.cfg.Hosts, Adviser: n.cfg.Adviser,
		Decoder: n.cfg.Decoder, Log: n.cfg.Log, Metrics: n.cfg.Metrics, Now: n.cfg.Now, Wall: n.cfg.Wall,
		Scheduling: cfg, StoreLimits: n.cfg.StoreLimits, Peers: n.knownPeers, OnConfiguration: n.follower.Adopt, Configuration: n.follower.Current,
		Workspaces:       n.workspaces,
		IsStoreSlow:      n.hedger.AnswersSlowly,
		DirectLostFor:    func(time.Time) time.Duration { return n.store.DirectLostFor(time.Now()) },
		HasPreviousEnded: func(ctx context.Context) bool { return n.hasEnded(ctx, previous) },
	}, epoch, claim.Term)
	n.leader.Store(l)
	defer n.leader.Store(nil)
	return l.Run(ctx)
}

// Leads reports whether this host runs the scheduler.
func (n *Node) Leads() bool {
	return n.leader.Load() != nil
}

// leading answers whether this process leads under a claim.
func (n *Node) leading(r relay.LeadingRequest) relay.LeadingAnswer {
	return relay.LeadingAnswer{Name: n.cfg.Self.Name, MayLead: n.candidate.MayLead(r.Nonce)}
}

// hasEnded reports whether the previous leader has certainly ended: its own host says so. It
// asks the host's next process if the one that led was killed.
func (n *Node) hasEnded(ctx context.Context, previous election.PreviousLeader) bool {
	if previous.Host.Name == "" {
		return false
	}
	a, err := n.cfg.Relay.Leading(ctx, previous.Host, relay.LeadingRequest{Nonce: previous.Nonce})
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"Peer": previous.Host.Name, "Error": err.Error()}).Debug("asking the previous leader failed")
		return false
	}
	return a.Name == previous.Host.Name && !a.MayLead
}

// sendHellos announces this host to the leader, or to the seeds if the leader isn't known
// or can't be reached.
func (n *Node) sendHellos(ctx context.Context) {
	for ctx.Err() == nil {
		interval := helloInterval
		st := n.candidate.State()
		switch {
		case n.leader.Load() != nil:
		case st.Epoch > 0 && n.cfg.Relay.Hello(ctx, st.Claim.Host, n.self()) == nil:
		default:
			interval = helloRetryInterval
			for _, p := range n.seedPeers() {
				if err := n.cfg.Relay.Hello(ctx, p, n.self()); err != nil {
					n.cfg.Log.WithFields(logrus.Fields{"Address": p.Address, "Error": err.Error()}).Debug("hello to seed failed")
				}
			}
		}
		clock.Sleep(ctx, interval)
	}
}

// self describes this host to its peers.
func (n *Node) self() relay.Peer {
	p := n.cfg.Self
	p.NoDirectPath = n.store.DirectLostFor(time.Now()) > 0
	return p
}

// SetSeeds replaces the seed addresses.
func (n *Node) SetSeeds(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seedAddresses = addresses
}

func (n *Node) seedPeers() []relay.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []relay.Peer
	for _, a := range n.seedAddresses {
		if a != n.cfg.Self.Address {
			out = append(out, relay.Peer{Name: a, Address: a})
		}
	}
	return out
}

// delay returns the delay of an overloaded queue from the leader's last heartbeat, and when that was read.
func (n *Node) delay(queue string) (shedding.Delay, time.Time, bool) {
	st := n.candidate.State()
	d, ok := st.Delays[queue]
	return d, st.DelaysAt, ok
}

// isStoreSlow reports whether the store is slow, as this host or the leader has seen.
func (n *Node) isStoreSlow() bool {
	st := n.candidate.State()
	isRecent := n.cfg.Now().Sub(st.HeartbeatAt) <= maxHeartbeatAge
	return n.hedger.IsSlow() || st.StoreSlow && isRecent
}

// coalescingHost returns the leader if it is another host that can coalesce appends.
func (n *Node) coalescingHost() (relay.Peer, bool) {
	return n.remoteLeader(n.cfg.Now(), n.candidate.State())
}

// remoteLeader returns the leader's host if that is another one that hasn't stepped down
// and whose last heartbeat is recent.
func (n *Node) remoteLeader(now time.Time, st election.State) (relay.Peer, bool) {
	host := st.Claim.Host
	if st.Epoch == 0 || st.Released || host.Address == n.cfg.Self.Address || now.Sub(st.HeartbeatAt) > maxHeartbeatAge {
		return relay.Peer{}, false
	}
	return host, true
}

// recordHello adds a host that sent a hello to the known peers, or renews it.
func (n *Node) recordHello(p relay.Peer) {
	if p.Name == "" || p.Address == "" || p.Name == n.cfg.Self.Name {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.peers[p.Name]; !ok {
		n.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Address": p.Address}).Info("entry host discovered")
	}
	n.peers[p.Name] = seenPeer{Peer: p, seenAt: n.cfg.Now()}
}

// knownPeers returns this host and those that sent a hello within peerTTL, sorted by name.
func (n *Node) knownPeers() []relay.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []relay.Peer{n.cfg.Self}
	for name, p := range n.peers {
		if n.cfg.Now().Sub(p.seenAt) > peerTTL {
			delete(n.peers, name)
			continue
		}
		out = append(out, p.Peer)
	}
	slices.SortFunc(out, func(a, b relay.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// otherPeers returns all other hosts that may relay calls: the seeds, the peers from the
// leader's heartbeat and those that sent a hello.
func (n *Node) otherPeers() []relay.Peer {
	st := n.candidate.State()
	byAddress := make(map[string]relay.Peer)
	for _, list := range [][]relay.Peer{n.seedPeers(), st.Peers, n.knownPeers()} {
		for _, p := range list {
			if p.Address != n.cfg.Self.Address {
				byAddress[p.Address] = p
			}
		}
	}
	out := make([]relay.Peer, 0, len(byAddress))
	for _, p := range byAddress {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b relay.Peer) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// State returns a job's state as shown to callers. It comes from the scheduler if this
// host is the leader, else from the leader's host.
func (n *Node) State(ctx context.Context, r relay.StateRequest) (relay.StateAnswer, error) {
	if l := n.leader.Load(); l != nil {
		return l.State(ctx, r.Job)
	}
	if r.Hops <= 0 {
		return relay.StateAnswer{}, relay.ErrNoLeader
	}
	return askLeader(ctx, n, r.Hops,
		func(p relay.Peer, hops int) (relay.StateAnswer, error) {
			return n.cfg.Relay.State(ctx, p, relay.StateRequest{Job: r.Job, Hops: hops})
		})
}

// Waiting returns the number of waiting jobs in a queue. It comes from the scheduler if
// this host is the leader, else from the leader's host.
func (n *Node) Waiting(ctx context.Context, r relay.WaitingRequest) (relay.WaitingAnswer, error) {
	if l := n.leader.Load(); l != nil {
		return l.Waiting(ctx, r.Queue)
	}
	if r.Hops <= 0 {
		return relay.WaitingAnswer{}, relay.ErrNoLeader
	}
	return askLeader(ctx, n, r.Hops,
		func(p relay.Peer, hops int) (relay.WaitingAnswer, error) {
			return n.cfg.Relay.Waiting(ctx, p, relay.WaitingRequest{Queue: r.Queue, Hops: hops})
		})
}

// askLeader sends a request to the leader. If that fails and the request hasn't been
// relayed yet, it goes through one other host.
func askLeader[T any](ctx context.Context, n *Node, hops int, ask func(p relay.Peer, hops int) (T, error)) (T, error) {
	var zero T
	st := n.candidate.State()
	if st.Epoch == 0 {
		return zero, relay.ErrNoLeader
	}
	a, err := ask(st.Claim.Host, 0)
	if err == nil || hops < relay.MaxHops {
		return a, err
	}
	for _, p := range n.otherPeers() {
		if p.Address == st.Claim.Host.Address || ctx.Err() != nil {
			continue
		}
		// Only one other host is tried. If it can't reach the leader either, the caller's
		// retry goes to a newer leader.
		if a, err := ask(p, hops-1); err == nil {
			return a, nil
		}
		break
	}
	return zero, err
}

// Ready returns the reason why this host should get no requests from callers, or an empty
// string if it is ready. The readiness check answers with the text, which keeps the word
// owner for the leader.
func (n *Node) Ready() string {
	if n.follower.Current() == nil {
		return "no configuration yet"
	}
	if n.store.IsUnreachable(time.Now()) {
		return "no path to the store"
	}
	if n.leader.Load() != nil {
		return ""
	}
	st := n.candidate.State()
	if st.Epoch == 0 {
		return "no owner yet"
	}
	if n.cfg.Now().Sub(st.HeartbeatAt) > maxContactAge {
		return "no sign of the owner"
	}
	return ""
}
