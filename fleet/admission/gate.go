package admission

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Estimates of a gate.
const (
	// learnShare is the share that a new observation has in a running mean.
	learnShare = 0.05
	// minOtherShare is the share of capacity that classes which are not urgent
	// are thought to get at least.
	minOtherShare = 0.05
	// burstTime is how long urgent requests are expected to go on as they do now.
	burstTime = 3 * time.Second
	// MinReturn is the shortest pause that a refused caller is told to make.
	MinReturn = time.Second
	// expectedFirst is the time at a server that is expected before any was seen.
	expectedFirst = 10 * time.Millisecond
)

// Gate estimates how long a request would wait and refuses one that can't be
// answered in time.
type Gate struct {
	// all is the running mean of the time at a server, byClass that of a class.
	all     time.Duration
	byClass map[inventory.ClassID]time.Duration
	// urgentShare is the running share of urgent requests among those sent.
	urgentShare float64
}

// NewGate returns a gate that has seen nothing.
func NewGate() *Gate {
	return &Gate{all: expectedFirst, byClass: make(map[inventory.ClassID]time.Duration)}
}

// Observe takes in the time that an answered request spent at its server.
func (g *Gate) Observe(id inventory.ClassID, d time.Duration) {
	g.all += time.Duration(learnShare * float64(d-g.all))
	mean := g.ServerTime(id)
	g.byClass[id] = mean + time.Duration(learnShare*float64(d-mean))
}

// Sent takes in whether a request that was sent is urgent.
func (g *Gate) Sent(urgent bool) {
	v := 0.0
	if urgent {
		v = 1
	}
	g.urgentShare += learnShare * (v - g.urgentShare)
}

// ServerTime returns the mean time of the class's requests at a server.
func (g *Gate) ServerTime(id inventory.ClassID) time.Duration {
	if d, ok := g.byClass[id]; ok {
		return d
	}
	return expectedFirst
}

// Wait returns how long a request of the tenant and class would wait behind
// those in the queue, with the number of slots that this host can use.
func (g *Gate) Wait(q *Queue, r Request, slots int) time.Duration {
	own, ok := q.classes[r.Class]
	if !ok {
		return 0
	}
	others := 0.0
	for _, c := range q.classes {
		if c != own && c.level == own.level && c.waiting > 0 {
			others += c.weight
		}
	}
	slotRate := own.weight / (own.weight + others) * float64(max(slots, 1)) / float64(g.all)
	ahead := own.ahead(r.Tenant)
	if own.level == levelUrgent {
		return time.Duration(ahead / slotRate)
	}
	return waitBehindBurst(ahead, slotRate*max(1-g.urgentShare, minOtherShare), slotRate)
}

// waitBehindBurst returns the wait behind a number of requests when urgent ones
// leave the rate now to others and, once the burst is over, the rate later.
func waitBehindBurst(ahead, now, later float64) time.Duration {
	inBurst := now * float64(burstTime)
	if ahead <= inBurst {
		return time.Duration(ahead / now)
	}
	return burstTime + time.Duration((ahead-inBurst)/later)
}

// Check returns a refusal if the request can't be answered by its deadline or
// its class's queue is full. A request that need not wait is always tried, so
// that the estimates go on learning.
func (g *Gate) Check(q *Queue, r Request, slots int, now time.Time) Refusal {
	wait := g.Wait(q, r, slots)
	switch {
	case !now.Before(r.Deadline):
		return Refusal{Reason: ReasonTooLate, After: max(wait, MinReturn)}
	case q.Waiting(r.Class) >= MaxWaiting:
		return Refusal{Reason: ReasonQueueFull, After: max(wait, MinReturn)}
	case wait > 0 && now.Add(wait+g.ServerTime(r.Class)).After(r.Deadline):
		return Refusal{Reason: ReasonTooLate, After: max(wait, MinReturn)}
	}
	return Refusal{}
}

// LatestStart returns when the request must be sent to be answered in time. It
// leaves at least half of the caller's time for waiting.
func (g *Gate) LatestStart(r Request) time.Time {
	return r.Deadline.Add(-min(g.ServerTime(r.Class), r.Deadline.Sub(r.Arrived)/2))
}
