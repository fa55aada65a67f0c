package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// ErrEnded means that the exchange of heartbeats has ended.
var ErrEnded = eris.New("the exchange of heartbeats has ended")

// View is what a host knows of the others at a moment.
type View struct {
	At    time.Time
	Peers []membership.Peer
	// Asked is set once every peer of the settings was asked.
	Asked bool
}

// ExchangerConfig is what an exchanger is built from.
type ExchangerConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Table   *membership.Table
	Client  *Client
	// Seeds are the addresses of the settings.
	Seeds []string
	// Own returns this host's heartbeat; the exchanger fills in Sequence and View.
	Own func(now time.Time) membership.Heartbeat
	Out *view.Box[View]
}

// message is heartbeats of a peer that waits for those of this host.
type message struct {
	beats  []membership.Heartbeat
	answer chan []membership.Heartbeat
}

// outcome is how an exchange that this host began has ended.
type outcome struct {
	address string
	beats   []membership.Heartbeat
	err     error
}

// Exchanger exchanges heartbeats and owns the table of peers. At most one
// exchange with each target of a round is under way; one that takes longer than
// CallTimeout has failed.
type Exchanger struct {
	cfg      ExchangerConfig
	messages chan message
	outcomes chan outcome
	ended    chan struct{}
	sequence int64
	// unasked are the seeds without an outcome so far.
	unasked map[string]bool
	// states are those that were last logged.
	states map[inventory.EntryID]membership.State
}

// NewExchanger returns a task that knows the seeds only.
func NewExchanger(cfg ExchangerConfig) *Exchanger {
	e := &Exchanger{
		cfg: cfg, messages: make(chan message), outcomes: make(chan outcome), ended: make(chan struct{}),
		unasked: make(map[string]bool), states: make(map[inventory.EntryID]membership.State),
	}
	for _, s := range cfg.Seeds {
		e.unasked[s] = true
	}
	return e
}

// Name returns the task's name.
func (e *Exchanger) Name() string {
	return "exchange of heartbeats"
}

// Run exchanges until the context ends, then says goodbye.
func (e *Exchanger) Run(ctx context.Context) error {
	defer close(e.ended)
	t := time.NewTicker(membership.HeartbeatInterval)
	defer t.Stop()
	e.begin(ctx, time.Now(), e.seeds())
	for {
		select {
		case <-ctx.Done():
			e.leave(time.Now())
			return nil
		case <-t.C:
			e.round(ctx, time.Now())
		case m := <-e.messages:
			now := time.Now()
			e.cfg.Table.Merge(now, m.beats)
			m.answer <- e.cfg.Table.Gossip(now, e.own(now), sender(m.beats))
		case o := <-e.outcomes:
			e.finish(o, time.Now())
		}
	}
}

// own returns this host's next heartbeat.
func (e *Exchanger) own(now time.Time) membership.Heartbeat {
	e.sequence++
	h := e.cfg.Own(now)
	h.Sequence = e.sequence
	h.View = e.cfg.Table.ViewDigest(now)
	return h
}

func (e *Exchanger) round(ctx context.Context, now time.Time) {
	e.cfg.Table.RemoveExpired(now)
	targets := e.cfg.Table.Targets(now, e.cfg.Own(now).Platform)
	if len(targets) == 0 || len(e.unasked) > 0 {
		targets = append(targets, e.seeds()...)
	}
	e.begin(ctx, now, targets)
	e.publish(now)
}

// sender returns the data centre of the host that sent a message.
func sender(beats []membership.Heartbeat) inventory.DataCentreID {
	if len(beats) == 0 {
		return ""
	}
	return beats[0].DataCentre
}

// seeds returns the hosts of the settings, whose data centres are not known.
func (e *Exchanger) seeds() []membership.Target {
	targets := make([]membership.Target, len(e.cfg.Seeds))
	for i, s := range e.cfg.Seeds {
		targets[i].Address = s
	}
	return targets
}

func (e *Exchanger) begin(ctx context.Context, now time.Time, targets []membership.Target) {
	for _, t := range targets {
		told := Encode(e.cfg.Table.Gossip(now, e.own(now), t.DataCentre))
		go func() {
			c, cancel := context.WithTimeout(ctx, CallTimeout)
			defer cancel()
			heard, err := e.cfg.Client.At(t.Address).Exchange(c, told)
			select {
			case e.outcomes <- outcome{address: t.Address, beats: Decode(heard), err: err}:
			case <-ctx.Done():
			}
		}()
	}
}

func (e *Exchanger) finish(o outcome, now time.Time) {
	delete(e.unasked, o.address)
	e.cfg.Table.Merge(now, o.beats)
	e.cfg.Table.SetReachable(o.address, o.err == nil)
	e.cfg.Metrics.Count("peer_exchanges", 1, metric.Label{Name: "Answered", Value: answered(o.err)})
	e.publish(now)
}

func answered(err error) string {
	if err != nil {
		return "no"
	}
	return "yes"
}

func (e *Exchanger) publish(now time.Time) {
	peers := e.cfg.Table.Peers(now)
	e.cfg.Out.Publish(View{At: now, Peers: peers, Asked: len(e.unasked) == 0})
	e.logChanges(peers)
	counts := map[membership.State]int64{membership.Alive: 0, membership.Suspect: 0, membership.Gone: 0}
	views := make(map[inventory.DataCentreID]map[uint32]bool)
	for _, p := range peers {
		counts[p.State]++
		if views[p.DataCentre] == nil {
			views[p.DataCentre] = make(map[uint32]bool)
		}
		views[p.DataCentre][p.View] = true
	}
	for s, n := range counts {
		e.cfg.Metrics.Gauge("peers", n, metric.Label{Name: "State", Value: string(s)})
	}
	for dc, digests := range views {
		e.cfg.Metrics.Gauge("peer_views", int64(len(digests)), metric.Label{Name: "DataCentre", Value: string(dc)})
	}
}

// logChanges logs each peer whose state is another than before.
func (e *Exchanger) logChanges(peers []membership.Peer) {
	states := make(map[inventory.EntryID]membership.State, len(peers))
	for _, p := range peers {
		states[p.Name] = p.State
		if was := e.states[p.Name]; was != p.State {
			e.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "State": p.State, "Before": was, "Incarnation": p.Incarnation}).Info("a peer changed its state")
		}
	}
	e.states = states
}

// leave tells the peers that this host goes, so that none of them waits.
func (e *Exchanger) leave(now time.Time) {
	h := e.own(now)
	h.Leaving = true
	told := Encode([]membership.Heartbeat{h})
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	for _, t := range e.cfg.Table.Targets(now, false) {
		_, _ = e.cfg.Client.At(t.Address).Exchange(ctx, told)
	}
}

// answer takes a peer's heartbeats and returns those known here.
func (e *Exchanger) answer(ctx context.Context, beats []membership.Heartbeat) ([]membership.Heartbeat, error) {
	m := message{beats: beats, answer: make(chan []membership.Heartbeat, 1)}
	select {
	case e.messages <- m:
	case <-e.ended:
		return nil, ErrEnded
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "waiting for the exchange")
	}
	return <-m.answer, nil
}
