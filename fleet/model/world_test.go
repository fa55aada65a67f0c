package model

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

const (
	duty        lease.Duty   = "Work"
	kindCommand journal.Kind = "Command"
	// step is the time that passes in one action.
	step = 4 * time.Second
)

var start = time.Unix(1000, 0)

// commands is a reducer that records which host's commands took effect under which
// epoch.
type commands struct {
	By map[journal.Epoch][]string
	// IDs lists the record IDs of all commands that took effect, in order.
	IDs []journal.RecordID
}

func (*commands) Kinds() []journal.Kind { return []journal.Kind{kindCommand} }

func (c *commands) Reduce(e journal.Entry) error {
	if e.Record.Duty == "" {
		return eris.New("a command without a duty")
	}
	if c.By == nil {
		c.By = make(map[journal.Epoch][]string)
	}
	c.By[e.Record.Epoch] = append(c.By[e.Record.Epoch], e.Record.By)
	c.IDs = append(c.IDs, e.Record.ID)
	return nil
}

func (c *commands) MarshalState() ([]byte, error) { return json.Marshal(*c) }

func (c *commands) UnmarshalState(b []byte) error { return json.Unmarshal(b, c) }

// state is the state that one host has built from the log.
type state struct {
	stateMachine *journal.StateMachine
	leases       *lease.Reducer
	commands     *commands
}

func newState() state {
	s := state{leases: lease.NewReducer(), commands: &commands{}}
	s.stateMachine = journal.NewStateMachine(s.leases, s.leases, s.commands)
	return s
}

// host is a simulated entry host.
type host struct {
	name    inventory.EntryID
	tracker *lease.Tracker
	state   state
	// unacknowledged are records whose append got no answer and is retried.
	unacknowledged [][]byte
	// confirmed are the commands whose append the log confirmed to this host.
	confirmed []journal.RecordID
	// pending is a command that was decided but not sent yet, as when the host is paused
	// in between. pendingID is its record ID.
	pending   []byte
	pendingID journal.RecordID
}

// world simulates hosts that share one log and one clock.
type world struct {
	now   time.Time
	log   [][]byte
	hosts []*host
	ids   int
	// violation is the first violated invariant.
	violation error
}

func newWorld(hosts int) *world {
	w := &world{now: start}
	for i := range hosts {
		name := inventory.EntryID(fmt.Sprint("e", i+1))
		w.hosts = append(w.hosts, &host{name: name, tracker: lease.NewTracker(name, start), state: newState()})
	}
	for _, h := range w.hosts {
		w.read(h)
	}
	return w
}

// action is a named step of the simulation.
type action struct {
	name string
	run  func(w *world, h *host)
}

// actions are the actions of one host. Each may occur at any time.
var actions = []action{
	{"claims", func(w *world, h *host) { w.claim(h, delivered) }},
	{"claims, answer lost", func(w *world, h *host) { w.claim(h, answerLost) }},
	{"renews", func(w *world, h *host) { w.renew(h, delivered) }},
	{"renews, record lost", func(w *world, h *host) { w.renew(h, recordLost) }},
	{"decides", func(w *world, h *host) { w.decide(h) }},
	{"sends", func(w *world, h *host) { w.send(h, delivered) }},
	{"sends, answer lost", func(w *world, h *host) { w.send(h, answerLost) }},
	{"sends again", func(w *world, h *host) { w.sendAgain(h) }},
	{"reads", func(w *world, h *host) { w.read(h) }},
	{"reads one record", func(w *world, h *host) { w.readUpTo(h, h.state.stateMachine.NextOffset()+1) }},
	{"restarts from a snapshot", func(w *world, h *host) { w.restart(h) }},
	{"time passes", func(w *world, _ *host) { w.now = w.now.Add(step) }},
}

// delivery tells whether the record of an append reaches the log and its answer the host.
type delivery int

const (
	delivered delivery = iota
	answerLost
	recordLost
)

func (w *world) record(h *host, kind journal.Kind, body any, epoch journal.Epoch) (journal.RecordID, []byte) {
	w.ids++
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint(h.name, "-", w.ids)), kind, w.now, string(h.name), body)
	if epoch > 0 {
		r.Duty, r.Epoch = string(duty), epoch
	}
	raw, encodeErr := r.Encode()
	if err != nil || encodeErr != nil {
		w.violated("encoding: %v, %v", err, encodeErr)
	}
	return r.ID, raw
}

func (w *world) violated(format string, args ...any) {
	if w.violation == nil {
		w.violation = eris.Errorf(format, args...)
	}
}

// append appends a record to the log and reports whether the append was confirmed.
func (w *world) append(h *host, raw []byte, d delivery) bool {
	if d != recordLost {
		w.log = append(w.log, raw)
	}
	if d != delivered {
		h.unacknowledged = append(h.unacknowledged, raw)
	}
	return d == delivered
}

func (w *world) names() []inventory.EntryID {
	var names []inventory.EntryID
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	return names
}

func (w *world) claim(h *host, d delivery) {
	if !h.tracker.MayClaim(duty, w.names(), w.now) {
		return
	}
	_, raw := w.record(h, lease.KindClaim, h.tracker.Claim(duty, w.now), 0)
	w.append(h, raw, d)
}

func (w *world) renew(h *host, d delivery) {
	if n, due := h.tracker.Renewal(w.now); due {
		_, raw := w.record(h, lease.KindRenew, n, 0)
		w.append(h, raw, d)
	}
}

// decide prepares a command under the currently held epoch. It may be sent much later.
func (w *world) decide(h *host) {
	if epoch, _, ok := h.tracker.Holds(duty, w.now); ok {
		h.pendingID, h.pending = w.record(h, kindCommand, 1, epoch)
	}
}

func (w *world) send(h *host, d delivery) {
	if h.pending == nil {
		return
	}
	if w.append(h, h.pending, d) {
		h.confirmed = append(h.confirmed, h.pendingID)
	}
	h.pending = nil
}

func (w *world) sendAgain(h *host) {
	if len(h.unacknowledged) > 0 {
		w.log = append(w.log, h.unacknowledged[0])
		h.unacknowledged = h.unacknowledged[1:]
	}
}

func (w *world) read(h *host) { w.readUpTo(h, journal.Offset(len(w.log))) }

func (w *world) readUpTo(h *host, end journal.Offset) {
	for o := h.state.stateMachine.NextOffset(); o < min(end, journal.Offset(len(w.log))); o++ {
		if _, err := h.state.stateMachine.Apply(o, w.log[o]); err != nil {
			w.violated("%s: %s", h.name, err)
		}
	}
	h.tracker.Observe(w.now, []lease.Duty{duty}, h.state.leases.Holdings())
}

// restart restarts the host with an empty tracker from a snapshot of the host that has
// applied the most records.
func (w *world) restart(h *host) {
	newest := h
	for _, o := range w.hosts {
		if o.state.stateMachine.NextOffset() > newest.state.stateMachine.NextOffset() {
			newest = o
		}
	}
	before := h.state.stateMachine.NextOffset()
	s, err := newest.state.stateMachine.Snapshot("S")
	if err != nil {
		w.violated("snapshot: %s", err)
		return
	}
	h.state = newState()
	if err := h.state.stateMachine.Restore(s); err != nil {
		w.violated("restore: %s", err)
	}
	if h.state.stateMachine.NextOffset() < before {
		w.violated("%s went back from %d to %d", h.name, before, h.state.stateMachine.NextOffset())
	}
	h.pending, h.unacknowledged = nil, nil
	h.tracker = lease.NewTracker(h.name, w.now.Add(time.Duration(w.ids)))
	h.tracker.Observe(w.now, []lease.Duty{duty}, h.state.leases.Holdings())
}

// check checks all invariants and returns the first violation.
func (w *world) check() error {
	w.checkSingleHolder()
	reference := newState()
	digests := []uint64{reference.stateMachine.Digest()}
	for o, raw := range w.log {
		result, err := reference.stateMachine.Apply(journal.Offset(o), raw)
		if err != nil {
			w.violated("%s", err)
		}
		if result.Kind == kindCommand && result.Outcome == journal.Accepted {
			w.checkCommandOfHolder(raw, reference.leases.Holding(duty))
		}
		digests = append(digests, reference.stateMachine.Digest())
	}
	for _, h := range w.hosts {
		if h.state.stateMachine.Digest() != digests[h.state.stateMachine.NextOffset()] {
			w.violated("the state of %s at %d is not a function of the offset", h.name, h.state.stateMachine.NextOffset())
		}
	}
	w.checkCommands(reference)
	return w.violation
}

// checkCommandOfHolder checks that a command that took effect was written by the holder
// of the duty under its epoch.
func (w *world) checkCommandOfHolder(raw []byte, h lease.Holding) {
	r, err := journal.Decode(raw)
	if err != nil || r.Epoch != h.Epoch || r.By != string(h.Holder) {
		w.violated("%s of %s under epoch %d took effect, the holder is %s under %d", r.ID, r.By, r.Epoch, h.Holder, h.Epoch)
	}
}

// checkSingleHolder checks that no two hosts hold the duty at the same time.
func (w *world) checkSingleHolder() {
	var holders []inventory.EntryID
	for _, h := range w.hosts {
		if _, _, ok := h.tracker.Holds(duty, w.now); ok {
			holders = append(holders, h.name)
		}
	}
	if len(holders) > 1 {
		w.violated("%v hold the duty at once", holders)
	}
}

// checkCommands checks that each epoch has one holder, that no command took effect twice
// and that every confirmed command took effect or was fenced.
func (w *world) checkCommands(reference state) {
	for epoch, by := range reference.commands.By {
		if len(slices.Compact(slices.Clone(by))) > 1 {
			w.violated("commands of %v took effect under epoch %d", by, epoch)
		}
	}
	effects := make(map[journal.RecordID]int)
	for _, id := range reference.commands.IDs {
		effects[id]++
		if effects[id] > 1 {
			w.violated("%s took effect twice", id)
		}
	}
	rejected := make(map[journal.RecordID]bool)
	for _, result := range reference.stateMachine.Recent() {
		if result.Outcome == journal.Rejected {
			rejected[result.ID] = true
		}
	}
	for _, h := range w.hosts {
		for _, id := range h.confirmed {
			if effects[id] == 0 && !rejected[id] {
				w.violated("%s was confirmed and is lost", id)
			}
		}
	}
}
