package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// LeaseHandover is what a leader passes on about leases. With each heartbeat it tells the next leader
// until when leases may last that no leader extends any more, so that waits for them don't start
// anew with each takeover. Times are those of the clock of the host that holds the value.
type LeaseHandover struct {
	// EarlierLapseAt is when the leases that earlier leaders extended have lapsed, except those
	// of workers that the leader has reached or whose leases it has given up. It is zero if there
	// are none.
	EarlierLapseAt time.Time
	// GivenUp are the workers whose leases the leader doesn't extend.
	GivenUp []GivenUpLease
	// PendingStarts are the starts without an answer, which may still be carried out.
	PendingStarts []PendingStart
}

// PendingStart is a task of which a worker, in any incarnation, may carry out a start until a time.
type PendingStart struct {
	Task   job.Task
	Worker WorkerID
	Until  time.Time
}

// GivenUpLease is the lease of a worker that doesn't answer. It isn't extended before a new
// record of the worker is stored, so it is valid as long as the stored record has the number
// Registration.
type GivenUpLease struct {
	Worker       WorkerID
	Registration int64
	LapsesAt     time.Time
}

// PreviousLeader is what a leader knows about the leases that earlier leaders extended.
type PreviousLeader struct {
	// Ended is set if the previous leader has certainly ended or has released its leadership:
	// it extends no lease after the takeover.
	Ended bool
	// Handover is that of the previous leader's last heartbeat, or nil if it had none.
	Handover *LeaseHandover
}

// lapseAt returns when all leases of earlier leaders have lapsed. A worker may have restarted without the
// previous leader's knowledge and have taken the longest lease from its last order. The previous leader is fenced
// before now, so unless it has ended it goes on extending leases for less than the grace.
func (p PreviousLeader) lapseAt(now time.Time, cfg Config) time.Time {
	longest := now.Add(maxCallTime + lapseTime(cfg.Grace+cfg.MaxLease))
	if !p.Ended || p.Handover == nil {
		return longest
	}
	at := now.Add(maxCallTime + lapseTime(cfg.MaxLease))
	if p.Handover.EarlierLapseAt.After(at) {
		at = p.Handover.EarlierLapseAt
	}
	if at.After(longest) {
		return longest
	}
	return at
}

// givenUp returns the lease of a worker's stored record if no leader extends it, and false if
// one may.
func (p PreviousLeader) givenUp(e Entry) (GivenUpLease, bool) {
	if p.Handover == nil || e.Registration == 0 {
		return GivenUpLease{}, false
	}
	for _, l := range p.Handover.GivenUp {
		if l.Worker == e.ID && l.Registration == e.Registration {
			return l, true
		}
	}
	return GivenUpLease{}, false
}

// maxGivenUpLeases bounds the leases that a heartbeat lists as given up, about 70 bytes each, as it is one record
// of the store.
const maxGivenUpLeases = 1000

// firstContactWait is how long a new leader waits for a worker's first answer before it gives up the
// lease: two attempts.
const firstContactWait = 400 * time.Millisecond

// PreviousEnded records that the previous leader has ended, so that it extends no lease after now.
func (s *Scheduler) PreviousEnded(now time.Time) {
	if s.cfg.Previous.Ended {
		return
	}
	s.cfg.Previous.Ended = true
	at := s.cfg.Previous.lapseAt(now, s.cfg)
	if !at.Before(s.inheritedUntil) {
		return
	}
	s.logDecision("previous leader has ended", "", "SinceTakeoverMs", now.Sub(s.startedAt).Milliseconds(),
		"LapsedInMs", at.Sub(now).Milliseconds(), "BeforeMs", s.inheritedUntil.Sub(now).Milliseconds())
	s.inheritedUntil = at
	for _, u := range s.unaccounted {
		u.shorten(at)
	}
	s.dirty = true
}

// HandOverLeases returns what the next leader has to know about leases and starts without an answer.
// It gives up the leases of workers that have not answered for extendWhileUnreachable, or not at all for
// firstContactWait, and of those that are drained and get no more holds, so that their end goes unnoticed.
// They are extended again only once a new record of the worker is stored, which the next leader sees. While
// leadership isn't confirmed, the store may be down and couldn't take that record, so no lease is
// given up. Beyond maxGivenUpLeases, the next leader takes a lease for one that may be extended.
func (s *Scheduler) HandOverLeases(now time.Time) *LeaseHandover {
	out := &LeaseHandover{}
	isConfirmed := now.Sub(s.leaderConfirmedAt) < maxHostProofAge
	for _, w := range s.workers.all() {
		if w.registration != registrationStored || !w.contacted && !s.isUnaccounted(w.ID) {
			continue // an order to its earlier incarnation may still reach it
		}
		hasNotAnswered := !w.contacted && now.Sub(s.startedAt) > firstContactWait
		if isConfirmed && (hasNotAnswered || w.unreachableFor(now) > extendWhileUnreachable || w.isDrained()) {
			w.leaseGivenUp = true
		}
		switch lapsesAt := s.lapsesAt(w); {
		case w.leaseGivenUp && len(out.GivenUp) < maxGivenUpLeases:
			out.GivenUp = append(out.GivenUp, GivenUpLease{Worker: w.ID, Registration: w.Registration, LapsesAt: lapsesAt})
		case s.isUnaccounted(w.ID) && lapsesAt.After(out.EarlierLapseAt):
			out.EarlierLapseAt = lapsesAt
		}
	}
	out.PendingStarts = s.listPendingStarts(now)
	return out
}

// isDrained reports whether a draining worker has no runs left.
func (w *worker) isDrained() bool {
	return w.Draining && w.contacted && w.runs.len() == 0
}

// lapsesAt returns when the lease of a worker that doesn't answer has lapsed, whichever leader
// extended it.
func (s *Scheduler) lapsesAt(w *worker) time.Time {
	if u := s.unaccounted[w.ID]; u != nil && u.lapsesAt.After(w.leaseUntil) {
		return u.lapsesAt
	}
	return w.leaseUntil
}

// resumeLease stores a new record of a worker that answers again, after which its lease may be
// extended.
func (s *Scheduler) resumeLease(w *worker) {
	if w.leaseGivenUp && w.registration == registrationStored {
		s.storeRegistration(w)
	}
}
