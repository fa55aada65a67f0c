package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Time limits of health monitoring.
const (
	// MaxListAge is the age beyond which a host list is ignored.
	MaxListAge = 30 * time.Second
	// RecoveryDelay is how long a failed host must be listed as live before it counts as
	// available again, so that a flapping host stays failed.
	RecoveryDelay = 5 * time.Second
	// MaxRebootFactor times the expected reboot time is how long a rebooting host may be
	// down before it counts as failed.
	MaxRebootFactor = 2
	// ListLag is how long a host may be missing from the list after its reboot, because
	// the list lags behind the platform.
	ListLag = 15 * time.Second
)

// monitor detects failed hosts from the host list. It keeps no state that a new holder
// of the duty needs.
type monitor struct {
	// liveSince is the time from which each failed host has been listed as live again.
	liveSince map[inventory.HostID]time.Time
	// upSince is the time from which each rebooted host has been up according to the
	// platform and missing from the list.
	upSince map[inventory.HostID]time.Time
	// hosts is the last list, and live whether each of its hosts is live.
	hosts []inventory.ListedHost
	live  map[inventory.HostID]bool
}

func newMonitor() *monitor {
	return &monitor{liveSince: make(map[inventory.HostID]time.Time), upSince: make(map[inventory.HostID]time.Time)}
}

// changes returns the hosts whose health in the state differs from the host list.
func (m *monitor) changes(in Input) Health {
	if in.List.At.IsZero() || in.Now.Sub(in.List.At) > MaxListAge {
		return Health{}
	}
	ids := in.View.healthCandidates()
	if !m.isSameList(in.List.Hosts) {
		m.setList(in.List.Hosts)
		ids = slices.Collect(maps.Keys(in.View.Hosts))
	}
	var b Health
	for _, id := range ids {
		h, live := in.View.Hosts[id], m.live[id]
		switch {
		case h.Failed && live:
			if m.hasRecovered(id, in.Now) {
				b.Returned = append(b.Returned, id)
			}
		case !h.Failed && !live && !m.isExpectedDown(in, id, h):
			b.Failed = append(b.Failed, id)
		default:
			delete(m.liveSince, id)
		}
		if live {
			delete(m.upSince, id)
		}
	}
	slices.Sort(b.Failed)
	slices.Sort(b.Returned)
	return b
}

// isSameList reports whether the list is the same slice as the last one.
func (m *monitor) isSameList(hosts []inventory.ListedHost) bool {
	return m.live != nil && len(hosts) == len(m.hosts) && (len(hosts) == 0 || &hosts[0] == &m.hosts[0])
}

func (m *monitor) setList(hosts []inventory.ListedHost) {
	m.hosts, m.live = hosts, make(map[inventory.HostID]bool, len(hosts))
	for _, l := range hosts {
		m.live[l.ID] = l.State == inventory.HostLive
	}
}

// healthCandidates returns the hosts whose health can change while the list is the same.
func (v *View) healthCandidates() []inventory.HostID {
	return append(slices.Collect(maps.Keys(v.Active)), v.failed...)
}

func (m *monitor) hasRecovered(id inventory.HostID, now time.Time) bool {
	since, ok := m.liveSince[id]
	if !ok {
		m.liveSince[id] = now
		return false
	}
	return now.Sub(since) >= RecoveryDelay
}

// isExpectedDown reports whether the host is rebooting, within the time limit, and has
// not been up according to the platform for ListLag or longer.
func (m *monitor) isExpectedDown(in Input, id inventory.HostID, h *Host) bool {
	if h.Phase != Rebooting {
		return false
	}
	if in.Now.Sub(h.RebootAt) > MaxRebootFactor*in.Configuration.Waves[h.Wave].RebootTime.AsDuration() {
		return false
	}
	reported, known := in.Platform[id]
	if !known || reported.State == PlatformRebooting || reported.Reboot != h.Reboot {
		delete(m.upSince, id)
		return true
	}
	since, seen := m.upSince[id]
	if !seen {
		m.upSince[id] = in.Now
		return true
	}
	return in.Now.Sub(since) < ListLag
}

// moveDebouncer delays the move of a host until its desired pool is stable.
type moveDebouncer struct {
	pending map[inventory.HostID]pendingMove
}

type pendingMove struct {
	pool  inventory.PoolID
	since time.Time
}

func newMoveDebouncer() *moveDebouncer {
	return &moveDebouncer{pending: make(map[inventory.HostID]pendingMove)}
}

// stable returns the hosts in service whose desired pool has differed from their
// own, and stayed the same, for MoveDelay. This hysteresis prevents moves while labels
// change back and forth.
func (s *moveDebouncer) stable(in Input) []inventory.HostID {
	next := make(map[inventory.HostID]pendingMove)
	var out []inventory.HostID
	for _, id := range in.View.displaced {
		h := in.View.Hosts[id]
		w, ok := s.pending[id]
		if !ok || w.pool != h.Desired {
			w = pendingMove{pool: h.Desired, since: in.Now}
		}
		next[id] = w
		if h.Phase == InService && !h.Failed && in.Now.Sub(w.since) >= MoveDelay {
			out = append(out, id)
		}
	}
	s.pending = next
	slices.Sort(out)
	return out
}
