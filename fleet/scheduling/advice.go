package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// adviceBatch is how many workers one question to the adviser names at most.
const adviceBatch = 100

// advice is what an adviser said of a step.
type advice struct {
	// asked steps may run on the workers in tickets only.
	asked   bool
	pending bool
	retryAt time.Time
	tickets map[WorkerID]ticket
	// refused workers were named in a question and not allowed.
	refused map[WorkerID]bool
}

type ticket struct {
	text  string
	until time.Time
}

// ticketMargin is how long before its end a ticket isn't used any more: the
// transfer of a start.
const ticketMargin = 100 * time.Millisecond

func (a *advice) allows(now time.Time, id WorkerID) bool {
	t, ok := a.tickets[id]
	return ok && now.Before(t.until)
}

func (a *advice) ticket(id WorkerID) string {
	return a.tickets[id].text
}

// expire forgets all tickets.
func (a *advice) expire() {
	clear(a.tickets)
	clear(a.refused)
}

// needsAdvice asks the adviser about a step where the queue wants that and no
// worker is known that may run it. It reports whether the step has to wait.
func (s *Scheduler) needsAdvice(now time.Time, v *poolView, st *step) bool {
	q, ok := s.conf.Queue(st.occ.job.Queue)
	if !ok || q.Advice == nil {
		st.advice.asked = false
		return false
	}
	a := &st.advice
	a.asked = true
	var ask []WorkerID
	for _, w := range v.workers {
		if a.allows(now, w.ID) && w.free().Fits(st.Takes()) {
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

// Advised takes an adviser's answer; ok is false where there was none.
func (s *Scheduler) Advised(now time.Time, id job.ID, number, step int, asked []WorkerID, rows []AllowedWorker, valid time.Duration, ok bool) {
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
		for _, r := range rows {
			delete(a.refused, r.Worker)
			a.tickets[r.Worker] = ticket{text: r.Ticket, until: now.Add(valid - ticketMargin)}
		}
		s.note("step advised", id, "Occurrence", number, "Step", step, "Asked", len(asked), "Allowed", len(rows))
	}
}
