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

// ErrEnded means that the exchanger has stopped.
var ErrEnded = eris.New("the exchange of heartbeats has ended")

// View is the state of the peers as this host knows it at a point in time.
type View struct {
	At    time.Time
	Peers []membership.Peer
	// Asked is set once an exchange with every configured peer has succeeded or
	// failed.
	Asked bool
}

// ExchangerConfig configures an exchanger.
type ExchangerConfig struct {
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	Table   *membership.Table
	Client  *Client
	// Seeds are the configured addresses of peers.
	Seeds []string
	// Own returns this host's heartbeat; the exchanger fills in Sequence and View.
	Own func(now time.Time) membership.Heartbeat
	Out *view.Value[View]
}

// exchangeRequest holds the heartbeats that a peer sent and the channel for the
// response to it.
type exchangeRequest struct {
	beats    []membership.Heartbeat
	response chan []membership.Heartbeat
}

// exchangeResult is the result of an exchange that this host started.
type exchangeResult struct {
	address string
	beats   []membership.Heartbeat
	err     error
}

// Exchanger exchanges heartbeats with the peers and is the only writer of the
// membership table. At most one exchange with each target of a round is in
// progress; an exchange fails after CallTimeout.
type Exchanger struct {
	cfg      ExchangerConfig
	requests chan exchangeRequest
	results  chan exchangeResult
	ended    chan struct{}
	sequence int64
	// pendingSeeds are the seeds with which no exchange has ended yet.
	pendingSeeds map[string]bool
	// loggedStates holds the state of each peer that was last logged.
	loggedStates map[inventory.EntryID]membership.State
}

// NewExchanger returns an exchanger that knows only the seeds.
func NewExchanger(cfg ExchangerConfig) *Exchanger {
	e := &Exchanger{
		cfg: cfg, requests: make(chan exchangeRequest), results: make(chan exchangeResult), ended: make(chan struct{}),
		pendingSeeds: make(map[string]bool), loggedStates: make(map[inventory.EntryID]membership.State),
	}
	for _, s := range cfg.Seeds {
		e.pendingSeeds[s] = true
	}
	return e
}

// Name returns the task's name.
func (e *Exchanger) Name() string {
	return "exchange of heartbeats"
}

// Run exchanges heartbeats until the context ends, then announces to the peers
// that this host leaves.
func (e *Exchanger) Run(ctx context.Context) error {
	defer close(e.ended)
	t := time.NewTicker(membership.HeartbeatInterval)
	defer t.Stop()
	e.startExchanges(ctx, time.Now(), e.seedTargets())
	for {
		select {
		case <-ctx.Done():
			e.announceLeave(time.Now())
			return nil
		case <-t.C:
			e.runRound(ctx, time.Now())
		case request := <-e.requests:
			now := time.Now()
			e.cfg.Table.Merge(now, request.beats)
			request.response <- e.cfg.Table.Gossip(now, e.nextHeartbeat(now), senderDataCentre(request.beats))
		case result := <-e.results:
			e.finishExchange(result, time.Now())
		}
	}
}

// nextHeartbeat returns the heartbeat of this host with the next sequence number.
func (e *Exchanger) nextHeartbeat(now time.Time) membership.Heartbeat {
	e.sequence++
	h := e.cfg.Own(now)
	h.Sequence = e.sequence
	h.View = e.cfg.Table.ViewDigest(now)
	return h
}

func (e *Exchanger) runRound(ctx context.Context, now time.Time) {
	e.cfg.Table.RemoveExpired(now)
	targets := e.cfg.Table.Targets(now, e.cfg.Own(now).Platform)
	if len(targets) == 0 || len(e.pendingSeeds) > 0 {
		targets = append(targets, e.seedTargets()...)
	}
	e.startExchanges(ctx, now, targets)
	e.publishView(now)
}

// senderDataCentre returns the data centre of the host that sent the heartbeats;
// its own heartbeat comes first.
func senderDataCentre(beats []membership.Heartbeat) inventory.DataCentreID {
	if len(beats) == 0 {
		return ""
	}
	return beats[0].DataCentre
}

// seedTargets returns the seeds as targets; their data centres are unknown.
func (e *Exchanger) seedTargets() []membership.Target {
	targets := make([]membership.Target, len(e.cfg.Seeds))
	for i, s := range e.cfg.Seeds {
		targets[i].Address = s
	}
	return targets
}

func (e *Exchanger) startExchanges(ctx context.Context, now time.Time, targets []membership.Target) {
	for _, t := range targets {
		sent := Encode(e.cfg.Table.Gossip(now, e.nextHeartbeat(now), t.DataCentre))
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
			defer cancel()
			received, err := e.cfg.Client.At(t.Address).Exchange(callCtx, sent)
			select {
			case e.results <- exchangeResult{address: t.Address, beats: Decode(received), err: err}:
			case <-ctx.Done():
			}
		}()
	}
}

func (e *Exchanger) finishExchange(result exchangeResult, now time.Time) {
	delete(e.pendingSeeds, result.address)
	e.cfg.Table.Merge(now, result.beats)
	e.cfg.Table.SetReachable(result.address, result.err == nil)
	e.cfg.Metrics.Count("peer_exchanges", 1, metric.Label{Name: "Answered", Value: answeredLabel(result.err)})
	e.publishView(now)
}

func answeredLabel(err error) string {
	if err != nil {
		return "no"
	}
	return "yes"
}

func (e *Exchanger) publishView(now time.Time) {
	peers := e.cfg.Table.Peers(now)
	e.cfg.Out.Publish(View{At: now, Peers: peers, Asked: len(e.pendingSeeds) == 0})
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

// logChanges logs each peer whose state has changed.
func (e *Exchanger) logChanges(peers []membership.Peer) {
	states := make(map[inventory.EntryID]membership.State, len(peers))
	for _, p := range peers {
		states[p.Name] = p.State
		if previous := e.loggedStates[p.Name]; previous != p.State {
			e.cfg.Log.WithFields(logrus.Fields{"Peer": p.Name, "State": p.State, "Before": previous, "Incarnation": p.Incarnation}).Info("peer state changed")
		}
	}
	e.loggedStates = states
}

// announceLeave sends a last heartbeat with Leaving set, so that the peers do not
// wait for this host.
func (e *Exchanger) announceLeave(now time.Time) {
	h := e.nextHeartbeat(now)
	h.Leaving = true
	sent := Encode([]membership.Heartbeat{h})
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	for _, t := range e.cfg.Table.Targets(now, false) {
		_, _ = e.cfg.Client.At(t.Address).Exchange(ctx, sent)
	}
}

// handleExchange merges the heartbeats of a peer and returns those to send back.
func (e *Exchanger) handleExchange(ctx context.Context, beats []membership.Heartbeat) ([]membership.Heartbeat, error) {
	request := exchangeRequest{beats: beats, response: make(chan []membership.Heartbeat, 1)}
	select {
	case e.requests <- request:
	case <-e.ended:
		return nil, ErrEnded
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "waiting for the exchange")
	}
	return <-request.response, nil
}
