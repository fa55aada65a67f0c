// Package site runs the tasks of one entry host on a platform: callers' requests,
// the configuration, the other entry hosts, and, on the owner, the scheduler.
package site

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/intake"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/ownership"
	"github.com/godwitcross/godwitcross/entry/publication"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/steward"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

const (
	// helloEvery is how often a host tells the owner that it is there.
	helloEvery = 3 * time.Second
	// helloSoon is how often a host without an owner looks for one.
	helloSoon = 300 * time.Millisecond
	// peerAge is how long a host is known after its last hello.
	peerAge = 12 * time.Second
	// maxHeartbeatAge is how old an owner's last sign may be for it to be asked: a slow store
	// delivers signs a second late.
	maxHeartbeatAge = 2500 * time.Millisecond
	// readyAge is how long after the last contact with an owner a host is ready.
	readyAge = 6 * time.Second
)

// Config is what a site is built from.
type Config struct {
	Self relay.Peer
	// Seeds are addresses of entry hosts, which may be gone.
	Seeds []string
	// Direct is this host's own path to the store.
	Direct     store.Store
	Relay      *relay.Client
	Workers    steward.Workers
	Hosts      steward.Hosts
	Adviser    steward.Adviser
	Decoder    steward.Decoder
	Log        logrus.FieldLogger
	Metrics    *metric.Registry
	Now        func() time.Time
	Wall       func() int64
	Scheduling scheduling.Config
	// Centres are the data centres that run jobs, in the same order on all hosts.
	Centres []string
}

// Site is one entry host.
type Site struct {
	cfg       Config
	store     *relay.Store
	candidate *ownership.Candidate
	follower  *publication.Follower
	batcher   *intake.Batcher
	intake    *intake.Intake
	server    *relay.Server
	// leader is set while this host is the owner.
	leader atomic.Pointer[steward.Leader]

	mu sync.Mutex
	// peers are those that said hello, by name; guarded by mu.
	peers map[string]seenPeer
	// addresses of entry hosts in the settings; guarded by mu.
	addresses []string
}

type seenPeer struct {
	relay.Peer
	at time.Time
}

// New returns a site with its parts connected.
func New(cfg Config) *Site {
	s := &Site{cfg: cfg, peers: make(map[string]seenPeer), addresses: cfg.Seeds}
	repeater := store.NewRepeater(cfg.Direct)
	cfg.Direct = store.NewGatherer(repeater)
	s.store = relay.NewStore(relay.StoreConfig{
		Direct: cfg.Direct, Client: cfg.Relay, Peers: s.others, Log: cfg.Log,
		Gathering: &relay.Gathering{Host: s.coalescingHost, IsSlow: repeater.IsSlow, Learn: repeater.Learn},
	})
	s.candidate = ownership.NewCandidate(ownership.Config{
		Self: cfg.Self, Direct: cfg.Direct, Store: s.store, Log: cfg.Log, Now: cfg.Now, Lead: s.lead,
	})
	s.follower = publication.NewFollower(publication.Config{
		Store: s.store, Decode: s.decodeConfiguration, Log: cfg.Log, Now: cfg.Now, Published: s.published,
	})
	s.batcher = intake.NewBatcher(s.store, cfg.Log, cfg.Metrics)
	s.intake = intake.New(intake.Config{
		Follower: s.follower, Batcher: s.batcher, Knower: s, Log: cfg.Log, Metrics: cfg.Metrics, Wall: cfg.Wall,
		Centres: cfg.Centres,
	})
	s.server = relay.NewServer(relay.ServerConfig{Log: cfg.Log, Store: cfg.Direct, Knower: s, Hello: s.hello})
	return s
}

// Intake returns the part that handles callers' requests.
func (s *Site) Intake() *intake.Intake {
	return s.intake
}

// Server returns the part that answers other entry hosts.
func (s *Site) Server() *relay.Server {
	return s.server
}

// Limits returns what callers may send, by the newest configuration.
func (s *Site) Limits() queue.Limits {
	if c := s.follower.Current(); c != nil {
		return c.Limits
	}
	return queue.Limits{}
}

// Run runs the host's tasks until the context ends. The owner's part ends first, so
// that the next owner is found while this host still answers callers.
func (s *Site) Run(ctx, leading context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(){
		func() { s.follower.Run(ctx) },
		func() { s.batcher.Run(ctx) },
		func() { s.candidate.Run(leading) },
		func() { s.greet(ctx) },
	} {
		wg.Go(task)
	}
	wg.Wait()
}

func (s *Site) decodeConfiguration(r store.Record) (*queue.Configuration, error) {
	p, err := s.cfg.Decoder.Publication(r)
	return p.Configuration, err
}

// published hands a configuration to the scheduler, if this host is the owner.
func (s *Site) published(c *queue.Configuration) {
	if st := s.leader.Load(); st != nil {
		go st.Configure(c)
	}
}

// lead runs the scheduler during one ownership of this host.
func (s *Site) lead(ctx context.Context, epoch int64, claim ownership.Claim, silent time.Duration) error {
	cfg := s.cfg.Scheduling
	cfg.FormerSilent = silent
	st := steward.New(steward.Config{
		Self: s.cfg.Self, Store: s.store, Workers: s.cfg.Workers, Hosts: s.cfg.Hosts, Adviser: s.cfg.Adviser,
		Decoder: s.cfg.Decoder, Log: s.cfg.Log, Metrics: s.cfg.Metrics, Now: s.cfg.Now, Wall: s.cfg.Wall,
		Scheduling: cfg, Peers: s.known, Published: s.follower.Adopt,
	}, epoch, claim.Term)
	s.leader.Store(st)
	defer s.leader.Store(nil)
	return st.Run(ctx)
}

// greet tells the owner, or any host that may know it, that this host is there.
func (s *Site) greet(ctx context.Context) {
	for ctx.Err() == nil {
		every := helloEvery
		st := s.candidate.State()
		switch {
		case s.leader.Load() != nil:
		case st.Epoch > 0 && s.cfg.Relay.Hello(ctx, st.Claim.Host, s.cfg.Self) == nil:
		default:
			every = helloSoon
			for _, p := range s.seeds() {
				if err := s.cfg.Relay.Hello(ctx, p, s.cfg.Self); err != nil {
					s.cfg.Log.WithFields(logrus.Fields{"Address": p.Address, "Error": err.Error()}).Debug("seed not greeted")
				}
			}
		}
		clock.Pause(ctx, every)
	}
}

// SetSeeds replaces the addresses at which other hosts are looked for.
func (s *Site) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
}

func (s *Site) seeds() []relay.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []relay.Peer
	for _, a := range s.addresses {
		if a != s.cfg.Self.Address {
			out = append(out, relay.Peer{Name: a, Address: a})
		}
	}
	return out
}

// coalescingHost returns the owner if it is another host that can gather appends.
func (s *Site) coalescingHost() (relay.Peer, bool) {
	return s.remoteLeader(s.cfg.Now(), s.candidate.State())
}

// remoteLeader reports whether an owner is another host and has given a sign lately.
func (s *Site) remoteLeader(now time.Time, st ownership.State) (relay.Peer, bool) {
	host := st.Claim.Host
	if st.Epoch == 0 || st.Released || host.Address == s.cfg.Self.Address || now.Sub(st.HeartbeatAt) > maxHeartbeatAge {
		return relay.Peer{}, false
	}
	return host, true
}

// hello notes a host that says it is there.
func (s *Site) hello(p relay.Peer) {
	if p.Name == "" || p.Address == "" || p.Name == s.cfg.Self.Name {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[p.Name]; !ok {
		s.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "Address": p.Address}).Info("entry host seen")
	}
	s.peers[p.Name] = seenPeer{Peer: p, at: s.cfg.Now()}
}

// known returns the hosts that said hello a short time ago.
func (s *Site) known() []relay.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []relay.Peer{s.cfg.Self}
	for name, p := range s.peers {
		if s.cfg.Now().Sub(p.at) > peerAge {
			delete(s.peers, name)
			continue
		}
		out = append(out, p.Peer)
	}
	slices.SortFunc(out, func(a, b relay.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// others returns all other hosts that may pass calls on.
func (s *Site) others() []relay.Peer {
	st := s.candidate.State()
	byAddress := make(map[string]relay.Peer)
	for _, list := range [][]relay.Peer{s.seeds(), st.Peers, s.known()} {
		for _, p := range list {
			if p.Address != s.cfg.Self.Address {
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
func (s *Site) State(ctx context.Context, r relay.StateRequest) (relay.StateAnswer, error) {
	if st := s.leader.Load(); st != nil {
		return st.State(ctx, r.Job)
	}
	if r.Hops <= 0 {
		return relay.StateAnswer{}, relay.ErrNoLeader
	}
	return throughLeader(ctx, s, r.Hops,
		func(p relay.Peer, hops int) (relay.StateAnswer, error) {
			return s.cfg.Relay.State(ctx, p, relay.StateRequest{Job: r.Job, Hops: hops})
		})
}

// Waiting answers how many jobs of a queue wait, if this host or the owner knows.
func (s *Site) Waiting(ctx context.Context, r relay.WaitingRequest) (relay.WaitingAnswer, error) {
	if st := s.leader.Load(); st != nil {
		return st.Waiting(ctx, r.Queue)
	}
	if r.Hops <= 0 {
		return relay.WaitingAnswer{}, relay.ErrNoLeader
	}
	return throughLeader(ctx, s, r.Hops,
		func(p relay.Peer, hops int) (relay.WaitingAnswer, error) {
			return s.cfg.Relay.Waiting(ctx, p, relay.WaitingRequest{Queue: r.Queue, Hops: hops})
		})
}

// throughLeader asks the owner, and another host that may reach it if it can't be
// reached from here.
func throughLeader[T any](ctx context.Context, s *Site, hops int, ask func(p relay.Peer, hops int) (T, error)) (T, error) {
	var zero T
	st := s.candidate.State()
	if st.Epoch == 0 {
		return zero, relay.ErrNoLeader
	}
	a, err := ask(st.Claim.Host, 0)
	if err == nil || hops < relay.MaxHops {
		return a, err
	}
	for _, p := range s.others() {
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
func (s *Site) Ready() string {
	if s.follower.Current() == nil {
		return "no configuration yet"
	}
	if s.store.IsLost(time.Now()) {
		return "no path to the store"
	}
	if s.leader.Load() != nil {
		return ""
	}
	st := s.candidate.State()
	if st.Epoch == 0 {
		return "no owner yet"
	}
	if s.cfg.Now().Sub(st.HeartbeatAt) > readyAge {
		return "no sign of the owner"
	}
	return ""
}
