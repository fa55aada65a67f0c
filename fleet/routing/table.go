// Package routing selects the backend server for a request, by the load that one entry
// host observes.
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

// Errors returned by Choose.
var (
	// ErrBusy means that all slots that this host may use are taken.
	ErrBusy = eris.New("all slots are taken")
	// ErrNoServer means that no backend server accepts requests.
	ErrNoServer = eris.New("no backend server takes requests")
)

// Config configures a Table.
type Config struct {
	// Name is the ID of this entry host.
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// Slots is the slot limit of each instance.
	Slots inventory.Slots
	// Random adds jitter to the delays before servers get requests again.
	Random *rand.Rand
}

// Table holds the backend servers of one service as one entry host observes them.
type Table struct {
	cfg     Config
	servers map[inventory.InstanceID]*server
	// localQueue and remoteQueue hold the active servers of this data centre and of
	// others.
	localQueue, remoteQueue *priority.Queue[*server]
	// suspended holds servers that are backing off, ejected or leaving, ordered by the end
	// of their suspension.
	suspended *priority.Queue[*server]
	// ownSlots is the sum of ownSlots over active servers.
	ownSlots inventory.Slots
	// inFlight and borrowed are sums over all servers.
	inFlight, borrowed inventory.Slots
	borrowing          borrowLimit
	choices            uint64
	// sharingHosts are the entry hosts that share the servers. hostCount is the number of
	// hosts that slots are assigned to; it is at least 1.
	sharingHosts []Host
	hostCount    int
}

// NewTable returns a table without servers.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg, servers: make(map[inventory.InstanceID]*server), borrowing: newBorrowLimit(), hostCount: 1}
	t.localQueue = priority.NewQueue((*server).preferredTo)
	t.remoteQueue = priority.NewQueue((*server).preferredTo)
	t.suspended = priority.NewQueue(func(a, b *server) bool { return a.until.Before(b.until) })
	return t
}

// Update replaces the instances and the entry hosts that share them. It keeps the state of
// servers that stay. It ignores an empty list of instances, because sending to an
// unreachable server is less harmful than leaving a service without servers.
func (t *Table) Update(instances []Instance, sharingHosts []Host, now time.Time) {
	t.sharingHosts = sharingHosts
	if len(instances) == 0 {
		return
	}
	listed := make(map[inventory.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID] = true
		t.updateInstance(i, now)
	}
	for id, s := range t.servers {
		if !listed[id] {
			t.removeFromQueue(s)
			t.inFlight -= s.inFlight
			delete(t.servers, id)
		}
	}
	t.assignOwnSlots()
}

// SetSlots sets the slot limit of each instance. The own shares follow at the next Update.
func (t *Table) SetSlots(n inventory.Slots) {
	if n == t.cfg.Slots {
		return
	}
	t.cfg.Slots = n
	for _, s := range t.servers {
		s.slotLimit, s.rampLimit = n, n
		if s.condition == active {
			t.queueOf(s).Fix(s.queueEntry)
		}
	}
}

// updateInstance adds or updates an instance from the host list.
func (t *Table) updateInstance(i Instance, now time.Time) {
	s, ok := t.servers[i.ID]
	if !ok {
		s = &server{slotLimit: t.cfg.Slots, rampLimit: t.cfg.Slots, local: i.DataCentre == t.cfg.DataCentre}
		s.Instance = i
		t.servers[i.ID] = s
		t.activate(s)
	}
	s.Address = i.Address
	switch {
	case i.Leaving && !s.Leaving:
		s.Leaving = true
		t.suspend(s, leaving, now.Add(listedLeavingHold))
	case !i.Leaving && s.Leaving:
		s.Leaving = false
		t.reinstate(s)
	}
}

// assignOwnSlots recomputes the own slots of the servers that are not leaving, in order of
// their IDs.
func (t *Table) assignOwnSlots() {
	var order []*server
	for _, s := range t.servers {
		if !s.Leaving {
			order = append(order, s)
		}
	}
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	var rank int
	rank, t.hostCount = rankOf(t.cfg.Name, t.sharingHosts, t.unreachableDataCentres())
	t.ownSlots, t.borrowed = 0, 0
	for index, s := range order {
		s.ownSlots = Share(t.cfg.Slots, index, rank, t.hostCount)
		if s.condition == active {
			t.ownSlots += s.ownSlots
			t.queueOf(s).Fix(s.queueEntry)
		}
	}
	for _, s := range t.servers {
		t.borrowed += s.borrowed()
	}
}

// Choose takes a slot for a request. It prefers own slots, local before remote. If
// mayBorrow is set, it then tries slots that other hosts don't seem to use. A server in
// avoid is chosen only if no other has a slot.
func (t *Table) Choose(avoid []inventory.InstanceID, mayBorrow bool, now time.Time) (Instance, error) {
	t.reinstateDue(now)
	if t.Len() == 0 {
		return Instance{}, ErrNoServer
	}
	if s := t.pick(avoid, mayBorrow, now); s != nil {
		return t.takeSlot(s, now), nil
	}
	if len(avoid) > 0 {
		return t.Choose(nil, mayBorrow, now)
	}
	return Instance{}, ErrBusy
}

// HasSlot reports whether Choose would find a server.
func (t *Table) HasSlot(mayBorrow bool, now time.Time) bool {
	t.reinstateDue(now)
	return t.pick(nil, mayBorrow, now) != nil
}

func (t *Table) pick(avoid []inventory.InstanceID, mayBorrow bool, now time.Time) *server {
	local, remote := t.first(t.localQueue, avoid), t.first(t.remoteQueue, avoid)
	for _, s := range [...]*server{local, remote} {
		if s != nil && s.freeOwnSlots() > 0 {
			return s
		}
	}
	if !mayBorrow || !t.borrowing.allows(t.borrowed, now) {
		return nil
	}
	for _, s := range [...]*server{local, remote} {
		if s != nil && s.freeSlots() > 0 {
			return s
		}
	}
	return nil
}

// first returns the first server of the queue that is not in avoid.
func (t *Table) first(q *priority.Queue[*server], avoid []inventory.InstanceID) *server {
	s, ok := q.Peek()
	if !ok {
		return nil
	}
	if !slices.Contains(avoid, s.ID) {
		return s
	}
	var skipped []*server
	for ok && slices.Contains(avoid, s.ID) {
		q.Remove(s.queueEntry)
		skipped = append(skipped, s)
		s, ok = q.Peek()
	}
	for _, p := range skipped {
		q.PushEntry(p.queueEntry)
	}
	if !ok {
		return nil
	}
	return s
}

func (t *Table) takeSlot(s *server, now time.Time) Instance {
	if s.freeOwnSlots() <= 0 {
		t.borrowing.recordBorrow(now)
	}
	t.choices++
	s.lastChosen = t.choices
	t.addInFlight(s, 1)
	return s.Instance
}

// addInFlight changes the load of a server and the sums that depend on it.
func (t *Table) addInFlight(s *server, n inventory.Slots) {
	t.borrowed -= s.borrowed()
	s.inFlight += n
	t.inFlight += n
	t.borrowed += s.borrowed()
	if s.condition == active {
		t.queueOf(s).Fix(s.queueEntry)
	}
}

// Slots returns how many slots this host can rely on.
func (t *Table) Slots() int {
	return max(int(t.ownSlots), int(t.inFlight), 1)
}

// Len returns the number of active servers, busy or not.
func (t *Table) Len() int {
	return t.localQueue.Len() + t.remoteQueue.Len()
}

// Hosts returns the number of entry hosts that slots are assigned to. It is at least 1.
func (t *Table) Hosts() int {
	return t.hostCount
}

// InFlight returns the number of this host's requests at all servers.
func (t *Table) InFlight() inventory.Slots {
	return t.inFlight
}

// queueOf returns the queue that holds the server while it is active.
func (t *Table) queueOf(s *server) *priority.Queue[*server] {
	if s.local {
		return t.localQueue
	}
	return t.remoteQueue
}

// RecordResult releases the slot that Choose took and updates the server's health by the
// result.
func (t *Table) RecordResult(id inventory.InstanceID, r retry.Result, took time.Duration, now time.Time) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	wasBorrowed := s.borrowed() > 0
	t.addInFlight(s, -1)
	switch r {
	case retry.ResultAnswered:
		t.recordAnswer(s, took)
		if wasBorrowed {
			t.borrowing.increase()
		}
	case retry.ResultRefused:
		t.recordRefusal(s, now)
		if wasBorrowed {
			t.borrowing.decrease()
		}
	case retry.ResultNotSent, retry.ResultNoAnswer:
		t.recordFailure(s, now)
	}
}
