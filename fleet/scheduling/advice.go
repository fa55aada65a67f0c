package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// adviceBatch bounds the workers that one request to the adviser names.
const adviceBatch = 100

// advice is the state of the advice for a step.
type advice struct {
	// required is set if the queue has an adviser: the step may run only on workers in
	// tickets.
	required bool
	// demanded is set once a worker refused a start for lack of a ticket. It decides only
	// where the queue's definition isn't known any more.
	demanded bool
	pending  bool
	retryAt  time.Time
	tickets  map[WorkerID]ticket
	// refused holds the workers that a request named and the adviser didn't allow.
	refused map[WorkerID]bool
}

// ticket allows a step to run on one worker until it expires.
type ticket struct {
	text       string
	validUntil time.Time
}

// ticketMargin is how long before its expiry a ticket is no longer used, which leaves
// time for the start order to arrive.
const ticketMargin = 100 * time.Millisecond

func (a *advice) allows(now time.Time, id WorkerID) bool {
	t, ok := a.tickets[id]
	return ok && now.Before(t.validUntil)
}

func (a *advice) ticket(id WorkerID) string {
	return a.tickets[id].text
}

// expire drops all tickets and refusals, so that the adviser is asked again.
func (a *advice) expire() {
	clear(a.tickets)
	clear(a.refused)
}

// needsAdvice reports whether a step has to wait for its queue's adviser. It sends a
// request if the queue has an adviser and no worker with a valid ticket can take a task of the
// step.
func (s *Scheduler) needsAdvice(now time.Time, v *poolView, st *step) bool {
	q, ok := s.queueOf(st.occ.job)
	if ok && q.Advice == nil || !ok && !st.advice.demanded {
		st.advice.required = false
		return false
	}
	a := &st.advice
	a.required = true
	var ask []WorkerID
	for _, w := range v.workers {
		if s.isEligible(now, st, w) {
			return false
		}
		if !a.allows(now, w.ID) && !a.refused[w.ID] && len(ask) < adviceBatch {
			ask = append(ask, w.ID)
		}
	}
	if a.pending || now.Before(a.retryAt) || len(ask) == 0 {
		return true
	}
	a.pending = true
	s.emit(Advise{Job: st.occ.job.ID, Number: st.occ.number, Step: st.number, Workers: ask})
	return true
}

// Advised applies an adviser's answer; ok is false if the call had none.
func (s *Scheduler) Advised(now time.Time, id job.ID, number, step int, asked []WorkerID, allowed []AllowedWorker, lifetime time.Duration, ok bool) {
	js := s.jobs[id]
	if js == nil {
		return
	}
	for _, o := range js.occurrences {
		if o.number != number || step >= len(o.steps) {
			continue
		}
		a := &o.steps[step].advice
		a.pending = false
		s.dirty = true
		if !ok {
			a.retryAt = now.Add(retryGap)
			continue
		}
		if a.tickets == nil {
			a.tickets = make(map[WorkerID]ticket)
			a.refused = make(map[WorkerID]bool)
		}
		for _, w := range asked {
			a.refused[w] = true
		}
		for _, r := range allowed {
			delete(a.refused, r.Worker)
			a.tickets[r.Worker] = ticket{text: r.Ticket, validUntil: now.Add(lifetime - ticketMargin)}
		}
		s.logDecision("step advised", id, "Occurrence", number, "Step", step, "Asked", len(asked), "Allowed", len(allowed))
	}
}
