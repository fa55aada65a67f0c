// Package routing chooses the backend server for a request from the load that
// one entry host sees.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/priority"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Errors of a choice.
var (
	// ErrBusy is returned while all slots that this host may use are taken.
	ErrBusy = eris.New("all slots are taken")
	// ErrNoServer is returned when no backend server may take a request at all.
	ErrNoServer = eris.New("no backend server takes requests")
)

// Config is what a table is built from.
type Config struct {
	// Name is this entry host.
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// Slots is the limit of each instance.
	Slots inventory.Slots
	// Random spreads the times at which servers are tried again.
	Random *rand.Rand
}

// Table is the backend servers of one service as one entry host sees them.
type Table struct {
	cfg     Config
	servers map[inventory.InstanceID]*server
	// near and far hold the servers in use, of this data centre and of others.
	near, far *priority.Queue[*server]
	// away holds resting and ejected servers and those with a sign of leaving,
	// by the time at which they come back.
	away *priority.Queue[*server]
	// own is the sum of own slots of servers in use.
	own inventory.Slots
	// inFlight and borrowed are sums over all servers.
	inFlight, borrowed inventory.Slots
	loan               loan
	turn               uint64
	// sharers are the entry hosts that share the servers, hosts the number of
	// those that the slots are dealt to; at least 1.
	sharers []Host
	hosts   int
}

// NewTable returns a table without servers.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg, servers: make(map[inventory.InstanceID]*server), loan: newLoan(), hosts: 1}
	t.near = priority.NewQueue((*server).goesBefore)
	t.far = priority.NewQueue((*server).goesBefore)
	t.away = priority.NewQueue(func(a, b *server) bool { return a.until.Before(b.until) })
	return t
}

// Update replaces the instances and the entry hosts that share them. It keeps
// what is known of servers that stay. A list that suddenly names none at all is
// passed over: an unreachable server costs less than an empty service.
func (t *Table) Update(instances []Instance, sharers []Host, now time.Time) {
	t.sharers = sharers
	if len(instances) == 0 {
		return
	}
	listed := make(map[inventory.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID] = true
		t.note(i, now)
	}
	for id, s := range t.servers {
		if !listed[id] {
			t.remove(s)
			t.inFlight -= s.inFlight
			delete(t.servers, id)
		}
	}
	t.deal()
}

// SetSlots takes a new limit of each instance, in force from the next Update.
func (t *Table) SetSlots(n inventory.Slots) {
	if n == t.cfg.Slots {
		return
	}
	t.cfg.Slots = n
	for _, s := range t.servers {
		s.slots, s.limit = n, n
		if s.condition == inUse {
			t.queue(s).Fix(s.entry)
		}
	}
}

// note takes in what the list says of one instance.
func (t *Table) note(i Instance, now time.Time) {
	s, ok := t.servers[i.ID]
	if !ok {
		s = &server{slots: t.cfg.Slots, limit: t.cfg.Slots, local: i.DataCentre == t.cfg.DataCentre}
		s.Instance = i
		t.servers[i.ID] = s
		t.enter(s)
	}
	s.Address = i.Address
	switch {
	case i.Leaving && !s.Leaving:
		s.Leaving = true
		t.sendAway(s, leaving, now.Add(listedLeaving))
	case !i.Leaving && s.Leaving:
		s.Leaving = false
		t.comeBack(s)
	}
}

// deal gives each server in use its share of own slots, in order of names.
func (t *Table) deal() {
	var order []*server
	for _, s := range t.servers {
		if !s.Leaving {
			order = append(order, s)
		}
	}
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	var own int
	own, t.hosts = rank(t.cfg.Name, t.sharers, t.cutOff())
	t.own, t.borrowed = 0, 0
	for place, s := range order {
		s.own = Share(t.cfg.Slots, place, own, t.hosts)
		if s.condition == inUse {
			t.own += s.own
			t.queue(s).Fix(s.entry)
		}
	}
	for _, s := range t.servers {
		t.borrowed += s.borrowed()
	}
}

// Choose takes a slot for a request. Own slots go first, those of this data
// centre before others; then slots that other hosts seem not to use, if the
// caller lets the table borrow. Servers to avoid are taken only when no other
// has a slot.
func (t *Table) Choose(avoid []inventory.InstanceID, mayBorrow bool, now time.Time) (Instance, error) {
	t.wake(now)
	if t.Len() == 0 {
		return Instance{}, ErrNoServer
	}
	if s := t.pick(avoid, mayBorrow, now); s != nil {
		return t.take(s, now), nil
	}
	if len(avoid) > 0 {
		return t.Choose(nil, mayBorrow, now)
	}
	return Instance{}, ErrBusy
}

// HasSlot reports whether Choose would find a server.
func (t *Table) HasSlot(mayBorrow bool, now time.Time) bool {
	t.wake(now)
	return t.pick(nil, mayBorrow, now) != nil
}

func (t *Table) pick(avoid []inventory.InstanceID, mayBorrow bool, now time.Time) *server {
	near, far := t.first(t.near, avoid), t.first(t.far, avoid)
	for _, s := range [...]*server{near, far} {
		if s != nil && s.free() > 0 {
			return s
		}
	}
	if !mayBorrow || !t.loan.allows(t.borrowed, now) {
		return nil
	}
	for _, s := range [...]*server{near, far} {
		if s != nil && s.left() > 0 {
			return s
		}
	}
	return nil
}

// first returns the first server of the queue that is not to be avoided.
func (t *Table) first(q *priority.Queue[*server], avoid []inventory.InstanceID) *server {
	s, ok := q.First()
	if !ok {
		return nil
	}
	if !slices.Contains(avoid, s.ID) {
		return s
	}
	var passed []*server
	for ok && slices.Contains(avoid, s.ID) {
		q.Remove(s.entry)
		passed = append(passed, s)
		s, ok = q.First()
	}
	for _, p := range passed {
		q.Add(p.entry)
	}
	if !ok {
		return nil
	}
	return s
}

func (t *Table) take(s *server, now time.Time) Instance {
	if s.free() <= 0 {
		t.loan.asked(now)
	}
	t.turn++
	s.turn = t.turn
	t.move(s, 1)
	return s.Instance
}

// move changes the load of a server and the sums that depend on it.
func (t *Table) move(s *server, n inventory.Slots) {
	t.borrowed -= s.borrowed()
	s.inFlight += n
	t.inFlight += n
	t.borrowed += s.borrowed()
	if s.condition == inUse {
		t.queue(s).Fix(s.entry)
	}
}

// Slots returns how many slots this host can count on.
func (t *Table) Slots() int {
	return max(int(t.own), int(t.inFlight), 1)
}

// Len returns the number of servers that take requests, busy or not.
func (t *Table) Len() int {
	return t.near.Len() + t.far.Len()
}

// Hosts returns the number of entry hosts that share the servers, at least 1.
func (t *Table) Hosts() int {
	return t.hosts
}

// InFlight returns this host's requests at all servers.
func (t *Table) InFlight() inventory.Slots {
	return t.inFlight
}

// queue returns the queue that the server is in while it is in use.
func (t *Table) queue(s *server) *priority.Queue[*server] {
	if s.local {
		return t.near
	}
	return t.far
}

// Ended gives back the slot that Choose took and learns from the result.
func (t *Table) Ended(id inventory.InstanceID, r retry.Result, took time.Duration, now time.Time) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	wasBorrowed := s.borrowed() > 0
	t.move(s, -1)
	switch r {
	case retry.ResultAnswered:
		t.answered(s, took)
		if wasBorrowed {
			t.loan.granted()
		}
	case retry.ResultRefused:
		t.refused(s, now)
		if wasBorrowed {
			t.loan.denied()
		}
	case retry.ResultNotSent, retry.ResultNoAnswer:
		t.failed(s, now)
	}
}
