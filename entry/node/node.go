// Package node runs the tasks of one entry host on a platform: callers' requests,
// the configuration, the other entry hosts, and, on the owner, the scheduler.
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
)

const (
	// helloEvery is how often a host tells the owner that it is there.
	helloEvery = 3 * time.Second
	// helloRetry is how often a host without an owner looks for one.
	helloRetry = 300 * time.Millisecond
	// peerTTL is how long a host is known after its last hello.
	peerTTL = 12 * time.Second
	// maxHeartbeatAge is how old an owner's last sign may be for it to be asked: a slow store
	// delivers signs a second late.
	maxHeartbeatAge = 2500 * time.Millisecond
	// maxContactAge is how long after the last contact with an owner a host is ready.
	maxContactAge = 6 * time.Second
)

// Config is what a node is built from.
type Config struct {
	Self relay.Peer
	// Seeds are addresses of entry hosts, which may be gone.
	Seeds []string
	// Direct is this host's own path to the store.
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
	// DataCentres are the data centres that run jobs, in the same order on all hosts.
	DataCentres []string
}

// Node is one entry host.
type Node struct {
	cfg       Config
	store     *relay.Store
	candidate *election.Candidate
	follower  *publication.Follower
	batcher   *intake.Batcher
	intake    *intake.Intake
	server    *relay.Server
	// leader is set while this host is the owner.
	leader atomic.Pointer[leader.Leader]

	mu sync.Mutex
	// peers are those that said hello, by name; guarded by mu.
	peers map[string]seenPeer
	// seedAddresses of entry hosts in the settings; guarded by mu.
	seedAddresses []string
}

type seenPeer struct {
	relay.Peer
	at time.Time
}

// New returns a node with its parts connected.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, peers: make(map[string]seenPeer), seedAddresses: cfg.Seeds}
	hedger := store.NewHedger(cfg.Direct)
	cfg.Direct = store.NewCoalescer(hedger)
	n.store = relay.NewStore(relay.StoreConfig{
		Direct: cfg.Direct, Client: cfg.Relay, Peers: n.otherPeers, Log: cfg.Log,
		Coalescing: &relay.Coalescing{Host: n.coalescingHost, IsSlow: hedger.IsSlow, ObserveLatency: hedger.ObserveLatency},
	})
	n.candidate = election.NewCandidate(election.Config{
		Self: cfg.Self, Direct: cfg.Direct, Store: n.store, Log: cfg.Log, Now: cfg.Now, Lead: n.lead,
	})
	n.follower = publication.NewFollower(publication.Config{
		Store: n.store, Decode: n.decodeConfiguration, Log: cfg.Log, Now: cfg.Now, Published: n.configure,
	})
	n.batcher = intake.NewBatcher(n.store, cfg.Log, cfg.Metrics)
	n.intake = intake.New(intake.Config{
		Follower: n.follower, Batcher: n.batcher, Resolver: n, Log: cfg.Log, Metrics: cfg.Metrics, Wall: cfg.Wall,
		DataCentres: cfg.DataCentres,
	})
	n.server = relay.NewServer(relay.ServerConfig{Log: cfg.Log, Store: cfg.Direct, Resolver: n, Hello: n.recordHello})
	return n
}

// Intake returns the part that handles callers' requests.
func (n *Node) Intake() *intake.Intake {
	return n.intake
}

// Server returns the part that answers other entry hosts.
func (n *Node) Server() *relay.Server {
	return n.server
}

// Limits returns what callers may send, by the newest configuration.
func (n *Node) Limits() queue.Limits {
	if c := n.follower.Current(); c != nil {
		return c.Limits
	}
	return queue.Limits{}
}

// Run runs the host's tasks until the context ends. The owner's part ends first, so
// that the next owner is found while this host still answers callers.
func (n *Node) Run(ctx, leading context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(){
		func() { n.follower.Run(ctx) },
		func() { n.batcher.Run(ctx) },
		func() { n.candidate.Run(leading) },
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

// configure hands a configuration to the scheduler, if this host is the owner.
func (n *Node) configure(c *queue.Configuration) {
	if st := n.leader.Load(); st != nil {
		go st.Configure(c)
	}
}

// lead runs the scheduler during one ownership of this host.
func (n *Node) lead(ctx context.Context, epoch int64, claim election.Claim, silent time.Duration) error {
	cfg := n.cfg.Scheduling
	cfg.PreviousLeaderSilence = silent
	st := leader.New(leader.Config{
		Self: n.cfg.Self, Store: n.store, Workers: n.cfg.Workers, Hosts: n.cfg.Hosts, Adviser: n.cfg.Adviser,
		Decoder: n.cfg.Decoder, Log: n.cfg.Log, Metrics: n.cfg.Metrics, Now: n.cfg.Now, Wall: n.cfg.Wall,
		Scheduling: cfg, Peers: n.knownPeers, Published: n.follower.Adopt,
	}, epoch, claim.Term)
	n.leader.Store(st)
	defer n.leader.Store(nil)
	return st.Run(ctx)
}

// sendHellos tells the owner, or any host that may know it, that this host is there.
func (n *Node) sendHellos(ctx context.Context) {
	for ctx.Err() == nil {
		every := helloEvery
		st := n.candidate.State()
		switch {
		case n.leader.Load() != nil:
		case st.Epoch > 0 && n.cfg.Relay.Hello(ctx, st.Claim.Host, n.cfg.Self) == nil:
		default:
			every = helloRetry
			for _, p := range n.seedPeers() {
				if err := n.cfg.Relay.Hello(ctx, p, n.cfg.Self); err != nil {
					n.cfg.Log.WithFields(logrus.Fields{"Address": p.Address, "Error": err.Error()}).Debug("seed not greeted")
				}
			}
		}
		clock.Pause(ctx, every)
	}
}

// SetSeeds replaces the addresses at which other hosts are looked for.
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

// coalescingHost returns the owner if it is another host that can gather appends.
func (n *Node) coalescingHost() (relay.Peer, bool) {
	return n.remoteLeader(n.cfg.Now(), n.candidate.State())
}

// remoteLeader reports whether an owner is another host and has given a sign lately.
func (n *Node) remoteLeader(now time.Time, st election.State) (relay.Peer, bool) {
	host := st.Claim.Host
	if st.Epoch == 0 || st.Released || host.Address == n.cfg.Self.Address || now.Sub(st.HeartbeatAt) > maxHeartbeatAge {
		return relay.Peer{}, false
	}
	return host, true
}

// recordHello notes a host that says it is there.
func (n *Node) recordHello(p relay.Peer) {
	if p.Name == "" || p.Address == "" || p.Name == n.cfg.Self.Name {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.peers[p.Name]; !ok {
		n.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Address": p.Address}).Info("entry host seen")
	}
	n.peers[p.Name] = seenPeer{Peer: p, at: n.cfg.Now()}
}

// knownPeers returns the hosts that said hello a short time ago.
func (n *Node) knownPeers() []relay.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []relay.Peer{n.cfg.Self}
	for name, p := range n.peers {
		if n.cfg.Now().Sub(p.at) > peerTTL {
			delete(n.peers, name)
			continue
		}
		out = append(out, p.Peer)
	}
	slices.SortFunc(out, func(a, b relay.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// otherPeers returns all other hosts that may pass calls on.
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

// State answers what callers may be told of a job, if this host or the owner knows.
func (n *Node) State(ctx context.Context, r relay.StateRequest) (relay.StateAnswer, error) {
	if st := n.leader.Load(); st != nil {
		return st.State(ctx, r.Job)
	}
	if r.Hops <= 0 {
		return relay.StateAnswer{}, relay.ErrNoLeader
	}
	return throughLeader(ctx, n, r.Hops,
		func(p relay.Peer, hops int) (relay.StateAnswer, error) {
			return n.cfg.Relay.State(ctx, p, relay.StateRequest{Job: r.Job, Hops: hops})
		})
}

// Waiting answers how many jobs of a queue wait, if this host or the owner knows.
func (n *Node) Waiting(ctx context.Context, r relay.WaitingRequest) (relay.WaitingAnswer, error) {
	if st := n.leader.Load(); st != nil {
		return st.Waiting(ctx, r.Queue)
	}
	if r.Hops <= 0 {
		return relay.WaitingAnswer{}, relay.ErrNoLeader
	}
	return throughLeader(ctx, n, r.Hops,
		func(p relay.Peer, hops int) (relay.WaitingAnswer, error) {
			return n.cfg.Relay.Waiting(ctx, p, relay.WaitingRequest{Queue: r.Queue, Hops: hops})
		})
}

// throughLeader asks the owner, and another host that may reach it if it can't be
// reached from here.
func throughLeader[T any](ctx context.Context, n *Node, hops int, ask func(p relay.Peer, hops int) (T, error)) (T, error) {
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
		// One other host is asked; if it can't reach the owner either, the caller's next
		// try comes to a newer owner.
		if a, err := ask(p, hops-1); err == nil {
			return a, nil
		}
		break
	}
	return zero, err
}

// Ready returns why this host should get no callers, or an empty text.
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
