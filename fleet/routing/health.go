package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Health of servers.
const (
	// maxFailures in a row eject a server.
	maxFailures = 2
	// maxLostShare of a service's servers in this data centre, or in others, are
	// taken out at once, at most, by what one host has seen without the host list.
	maxLostShare = 0.5
	// signHold is how long a server that showed a sign of leaving gets nothing,
	// unless the host list tells more. It is longer than the list's delay.
	signHold = 10 * time.Second
	// listedLeaving is how long a server that the list calls leaving is away
	// without a newer list.
	listedLeaving = 24 * time.Hour
	// slowFactor times the median latency, and slowLeast above it, is slow.
	slowFactor = 5
	slowLeast  = 50 * time.Millisecond
	// slowSamples are needed before a server is judged by its latency.
	slowSamples = 8
	// latencyShare is the share of a new observation in the running mean.
	latencyShare = 0.2
)

// Pauses before a server is asked again.
var (
	restAfterRefusal = retry.Backoff{First: 10 * time.Millisecond, Most: time.Second}
	awayAfterFailure = retry.Backoff{First: time.Second, Most: 30 * time.Second}
)

func (t *Table) answered(s *server, took time.Duration) {
	s.refusals, s.failures = 0, 0
	if s.lost {
		s.lost = false
		t.deal()
	}
	if s.signed && s.condition == inUse {
		s.signed, s.recycles = false, true
	}
	s.limit = min(s.limit*2, t.cfg.Slots)
	if s.samples == 0 {
		s.latency = took
	}
	s.latency += time.Duration(latencyShare * float64(took-s.latency))
	s.samples++
	if s.samples > 10*slowSamples {
		s.ejections = 0
	}
	if s.condition == inUse {
		t.queue(s).Fix(s.entry)
	}
}

// refused lets a server rest that had no slot for this host.
func (t *Table) refused(s *server, now time.Time) {
	s.refusals++
	if s.condition == inUse {
		t.sendAway(s, resting, now.Add(restAfterRefusal.Pause(s.refusals, t.cfg.Random)))
	}
}

func (t *Table) failed(s *server, now time.Time) {
	s.failures++
	if s.failures >= maxFailures {
		t.eject(s, now)
	}
}

// eject takes a server out, for longer each time. The bound on ejected servers
// gives the one that is due next back in exchange.
func (t *Table) eject(s *server, now time.Time) {
	if s.condition == ejected || s.condition == leaving {
		return
	}
	if !t.mayLose(s) {
		o := t.nextEjected(s.local)
		if o == nil {
			return
		}
		t.comeBack(o)
	}
	s.ejections++
	s.failures, s.samples = 0, 0
	t.sendAway(s, ejected, now.Add(awayAfterFailure.Pause(s.ejections, t.cfg.Random)))
	if !s.lost {
		s.lost = true
		t.deal()
	}
}

// cutOff returns the other data centres of which every server is lost. Entry
// hosts there are taken for cut off from the servers here, so that their slots
// are dealt to the others; a server refuses if they are not.
func (t *Table) cutOff() map[inventory.DataCentreID]bool {
	out := make(map[inventory.DataCentreID]bool)
	for _, s := range t.servers {
		if s.local || s.Leaving {
			continue
		}
		lost, seen := out[s.DataCentre]
		out[s.DataCentre] = s.lost && (lost || !seen)
	}
	return out
}

// mayLose reports whether the server can be taken out by what this host alone
// has seen. Servers of other data centres may all go while one of this data
// centre is in use: the two may be cut off from each other. Otherwise at least
// half of the servers near or far stay.
func (t *Table) mayLose(lost *server) bool {
	if !lost.local && t.near.Len() > 0 {
		return true
	}
	stay, out := 0, 1
	for _, s := range t.servers {
		if s.Leaving || s.local != lost.local {
			continue
		}
		stay++
		if s.condition == ejected || s.condition == leaving {
			out++
		}
	}
	return float64(out) <= maxLostShare*float64(stay)
}

// nextEjected returns the ejected server, near or far, that is due next.
func (t *Table) nextEjected(local bool) *server {
	var next *server
	for _, s := range t.servers {
		if s.condition == ejected && s.local == local && (next == nil || comesBackBefore(s, next)) {
			next = s
		}
	}
	return next
}

func comesBackBefore(a, b *server) bool {
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.ID < b.ID
}

// Sign is what a server itself showed of its leaving.
type Sign int

// The signs, from none to the clearest.
const (
	// NoSign is a server that goes on.
	NoSign Sign = iota
	// SignHeader is an answer that says the connection closes.
	SignHeader
	// SignRefusal is a refusal that says the connection closes.
	SignRefusal
)

// SignLeaving takes in a sign that the server leaves. It gets nothing for a
// time in which the host list tells more. Signs alone never take more than the
// bounded share of the servers out.
func (t *Table) SignLeaving(id inventory.InstanceID, sign Sign, now time.Time) {
	s, ok := t.servers[id]
	if !ok || sign == NoSign || s.condition == leaving || s.recycles {
		return
	}
	if !t.mayLose(s) {
		return
	}
	s.signed = true
	t.sendAway(s, leaving, now.Add(signHold))
}

// Review ejects servers that have become slow against the others. It costs time
// in proportion to the servers and is called now and then.
func (t *Table) Review(now time.Time) {
	t.wake(now)
	var judged []*server
	for _, s := range t.servers {
		if s.condition == inUse && s.samples >= slowSamples {
			judged = append(judged, s)
		}
	}
	if len(judged) < 3 {
		return
	}
	slices.SortFunc(judged, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.latency, b.latency), cmp.Compare(a.ID, b.ID))
	})
	median := judged[len(judged)/2].latency
	for _, s := range judged {
		if s.latency > slowFactor*median && s.latency > median+slowLeast {
			t.eject(s, now)
		}
	}
}

// enter puts a server into use.
func (t *Table) enter(s *server) {
	s.condition = inUse
	t.own += s.own
	s.entry = t.queue(s).Push(s)
}

// remove takes a server out of whatever queue it is in.
func (t *Table) remove(s *server) {
	switch s.condition {
	case inUse:
		t.own -= s.own
		t.queue(s).Remove(s.entry)
	default:
		t.away.Remove(s.entry)
	}
}

func (t *Table) sendAway(s *server, c condition, until time.Time) {
	t.remove(s)
	s.condition, s.until = c, until
	s.entry = t.away.Push(s)
}

// comeBack puts a server into use again; slowly after anything but a refusal.
func (t *Table) comeBack(s *server) {
	was := s.condition
	t.remove(s)
	if was != resting {
		s.limit = 1
	}
	t.enter(s)
}

// wake brings servers back whose time away is over.
func (t *Table) wake(now time.Time) {
	for {
		s, ok := t.away.First()
		if !ok || s.until.After(now) {
			return
		}
		if s.Leaving {
			s.until = now.Add(listedLeaving)
			t.away.Fix(s.entry)
			continue
		}
		t.comeBack(s)
	}
}

// NextWake returns when the next server comes back, or the zero time.
func (t *Table) NextWake() time.Time {
	if s, ok := t.away.First(); ok {
		return s.until
	}
	return time.Time{}
}
