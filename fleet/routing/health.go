package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
)

// Limits for ejecting and excluding servers.
const (
	// maxFailures consecutive failures eject a server.
	maxFailures = 2
	// maxExcludedShare limits the share of a service's local servers, and of its remote
	// servers, that this host excludes by its own observations, without the host list.
	maxExcludedShare = 0.5
	// leavingSignHold is how long a server that showed a sign of leaving gets no requests,
	// unless the host list changes its state earlier. It is longer than the delay of the
	// host list.
	leavingSignHold = 10 * time.Second
	// listedLeavingHold is how long a server that is listed as leaving gets no requests.
	// It is renewed until a newer host list ends it.
	listedLeavingHold = 24 * time.Hour
	// A server is slow if its latency is above slowFactor times the median and above the
	// median plus minSlowMargin.
	slowFactor    = 5
	minSlowMargin = 50 * time.Millisecond
	// minLatencySamples is the number of answers needed before a server's latency counts.
	minLatencySamples = 8
	// latencyWeight is the weight of a new sample in the moving average of latencies.
	latencyWeight = 0.2
)

// Delays before a server gets requests again.
var (
	refusalBackoff  = retry.Backoff{Initial: 10 * time.Millisecond, Max: time.Second}
	ejectionBackoff = retry.Backoff{Initial: time.Second, Max: 30 * time.Second}
)

func (t *Table) recordAnswer(s *server, took time.Duration) {
	s.refusals, s.failures = 0, 0
	if s.suspected {
		s.suspected = false
		t.assignOwnSlots()
	}
	if s.showedLeavingSign && s.condition == active {
		s.showedLeavingSign, s.recyclesConnections = false, true
	}
	s.rampLimit = min(s.rampLimit*2, t.cfg.Slots)
	if s.samples == 0 {
		s.latency = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	s.samples++
	if s.samples > 10*minLatencySamples {
		s.ejections = 0
	}
	if s.condition == active {
		t.queueOf(s).Fix(s.queueEntry)
	}
}

// recordRefusal suspends a server that refused a request because it had no free slot.
func (t *Table) recordRefusal(s *server, now time.Time) {
	s.refusals++
	if s.condition == active {
		t.suspend(s, backingOff, now.Add(refusalBackoff.Delay(s.refusals, t.cfg.Random)))
	}
}

func (t *Table) recordFailure(s *server, now time.Time) {
	s.failures++
	if s.failures >= maxFailures {
		t.eject(s, now)
	}
}

// eject suspends a server, for longer each time. If the limit on excluded servers is
// reached, the ejected server that is due next is reinstated in exchange.
func (t *Table) eject(s *server, now time.Time) {
	if s.condition == ejected || s.condition == leaving {
		return
	}
	if !t.mayExclude(s) {
		o := t.nextEjected(s.local)
		if o == nil {
			return
		}
		t.reinstate(o)
	}
	s.ejections++
	s.failures, s.samples = 0, 0
	t.suspend(s, ejected, now.Add(ejectionBackoff.Delay(s.ejections, t.cfg.Random)))
	if !s.suspected {
		s.suspected = true
		t.assignOwnSlots()
	}
}

// unreachableDataCentres returns the other data centres in which all servers are
// suspected. Entry hosts there are assumed to be cut off from the servers here, so that
// their slots go to the remaining hosts. If the assumption is wrong, the servers refuse
// the excess requests.
func (t *Table) unreachableDataCentres() map[inventory.DataCentreID]bool {
	unreachable := make(map[inventory.DataCentreID]bool)
	for _, s := range t.servers {
		if s.local || s.Leaving {
			continue
		}
		allSuspected, seen := unreachable[s.DataCentre]
		unreachable[s.DataCentre] = s.suspected && (allSuspected || !seen)
	}
	return unreachable
}

// mayExclude reports whether this host may exclude the server by its own observations.
// All remote servers may be excluded while a local server is active, because the link
// between the data centres may be down. Otherwise at least half of the local servers, or
// of the remote ones, stay in use.
func (t *Table) mayExclude(candidate *server) bool {
	if !candidate.local && t.localQueue.Len() > 0 {
		return true
	}
	total, excluded := 0, 1
	for _, s := range t.servers {
		if s.Leaving || s.local != candidate.local {
			continue
		}
		total++
		if s.condition == ejected || s.condition == leaving {
			excluded++
		}
	}
	return float64(excluded) <= maxExcludedShare*float64(total)
}

// nextEjected returns the ejected local or remote server that is due next.
func (t *Table) nextEjected(local bool) *server {
	var next *server
	for _, s := range t.servers {
		if s.condition == ejected && s.local == local && (next == nil || isDueBefore(s, next)) {
			next = s
		}
	}
	return next
}

func isDueBefore(a, b *server) bool {
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.ID < b.ID
}

// LeavingSign is a server's own announcement, in a response, that it is leaving.
type LeavingSign int

// The signs of leaving, in order of certainty.
const (
	// NoLeavingSign means that the response did not announce anything.
	NoLeavingSign LeavingSign = iota
	// LeavingSignHeader is an answer whose header closes the connection.
	LeavingSignHeader
	// LeavingSignRefusal is a refusal whose header closes the connection.
	LeavingSignRefusal
)

// ObserveLeavingSign suspends a server that announced that it is leaving, until the host
// list has had time to confirm it. Announcements alone never exclude more servers than
// mayExclude allows.
func (t *Table) ObserveLeavingSign(id inventory.InstanceID, sign LeavingSign, now time.Time) {
	s, ok := t.servers[id]
	if !ok || sign == NoLeavingSign || s.condition == leaving || s.recyclesConnections {
		return
	}
	if !t.mayExclude(s) {
		return
	}
	s.showedLeavingSign = true
	t.suspend(s, leaving, now.Add(leavingSignHold))
}

// EjectSlow ejects servers that are much slower than the median. Its cost grows with the
// number of servers, so the caller runs it periodically, not for every request.
func (t *Table) EjectSlow(now time.Time) {
	t.reinstateDue(now)
	var compared []*server
	for _, s := range t.servers {
		if s.condition == active && s.samples >= minLatencySamples {
			compared = append(compared, s)
		}
	}
	if len(compared) < 3 {
		return
	}
	slices.SortFunc(compared, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.latency, b.latency), cmp.Compare(a.ID, b.ID))
	})
	median := compared[len(compared)/2].latency
	for _, s := range compared {
		if s.latency > slowFactor*median && s.latency > median+minSlowMargin {
			t.eject(s, now)
		}
	}
}

// activate makes a server available for requests.
func (t *Table) activate(s *server) {
	s.condition = active
	t.ownSlots += s.ownSlots
	s.queueEntry = t.queueOf(s).Push(s)
}

// removeFromQueue removes a server from the queue that it is in.
func (t *Table) removeFromQueue(s *server) {
	switch s.condition {
	case active:
		t.ownSlots -= s.ownSlots
		t.queueOf(s).Remove(s.queueEntry)
	default:
		t.suspended.Remove(s.queueEntry)
	}
}

func (t *Table) suspend(s *server, c condition, until time.Time) {
	t.removeFromQueue(s)
	s.condition, s.until = c, until
	s.queueEntry = t.suspended.Push(s)
}

// reinstate makes a suspended server active again, with a slow start after anything but a
// refusal.
func (t *Table) reinstate(s *server) {
	previous := s.condition
	t.removeFromQueue(s)
	if previous != backingOff {
		s.rampLimit = 1
	}
	t.activate(s)
}

// reinstateDue reinstates the servers whose suspension is over.
func (t *Table) reinstateDue(now time.Time) {
	for {
		s, ok := t.suspended.Peek()
		if !ok || s.until.After(now) {
			return
		}
		if s.Leaving {
			s.until = now.Add(listedLeavingHold)
			t.suspended.Fix(s.queueEntry)
			continue
		}
		t.reinstate(s)
	}
}

// NextReinstatement returns when the next suspended server is due, or the zero time.
func (t *Table) NextReinstatement() time.Time {
	if s, ok := t.suspended.Peek(); ok {
		return s.until
	}
	return time.Time{}
}
