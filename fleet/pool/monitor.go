package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Times of the health of hosts.
const (
	// MaxListAge is the age beyond which a host list says nothing.
	MaxListAge = 30 * time.Second
	// ReturnAfter is how long a failed host is listed as live before it counts
	// again, so that one that comes and goes counts as failed.
	ReturnAfter = 5 * time.Second
	// MaxRebootFactor times the expected reboot time is how long a rebooting host
	// may be away before it counts as failed.
	MaxRebootFactor = 3
)

// monitor tells failed hosts by the host list. It keeps nothing that a new
// holder of the duty has to know.
type monitor struct {
	// listed is since when a failed host is listed as live again.
	listed map[inventory.HostID]time.Time
}

func newMonitor() *monitor {
	return &monitor{listed: make(map[inventory.HostID]time.Time)}
}

// report returns what changed between the folded state and the host list.
func (m *monitor) report(in Input) Health {
	if in.List.At.IsZero() || in.Now.Sub(in.List.At) > MaxListAge {
		return Health{}
	}
	live := make(map[inventory.HostID]bool, len(in.List.Hosts))
	for _, l := range in.List.Hosts {
		live[l.ID] = l.State == inventory.HostLive
	}
	var b Health
	for id, h := range in.View.Hosts {
		switch {
		case h.Failed && live[id]:
			if m.isBack(id, in.Now) {
				b.Returned = append(b.Returned, id)
			}
		case !h.Failed && !live[id] && !in.isExpectedAway(h):
			b.Failed = append(b.Failed, id)
		default:
			delete(m.listed, id)
		}
	}
	slices.Sort(b.Failed)
	slices.Sort(b.Returned)
	return b
}

func (m *monitor) isBack(id inventory.HostID, now time.Time) bool {
	since, ok := m.listed[id]
	if !ok {
		m.listed[id] = now
		return false
	}
	return now.Sub(since) >= ReturnAfter
}

// isExpectedAway reports whether the host reboots and has not taken too long.
func (in Input) isExpectedAway(h Host) bool {
	if h.Phase != Rebooting {
		return false
	}
	w := in.Configuration.Waves[h.Wave]
	return in.Now.Sub(h.GrantedAt) < MaxRebootFactor*(w.RebootTime.Std()+MaxDrain)
}

// settling remembers since when hosts are wanted in another pool.
type settling struct {
	since map[inventory.HostID]wanted
}

type wanted struct {
	pool inventory.PoolID
	at   time.Time
}

func newSettling() *settling {
	return &settling{since: make(map[inventory.HostID]wanted)}
}

// settled returns the hosts in service whose desired pool has differed from their
// own, and stayed the same, for MoveAfter. This is the hysteresis against labels
// that change back and forth.
func (s *settling) settled(in Input) []inventory.HostID {
	next := make(map[inventory.HostID]wanted)
	var out []inventory.HostID
	for id, h := range in.View.Hosts {
		if h.Desired == h.Pool {
			continue
		}
		w, ok := s.since[id]
		if !ok || w.pool != h.Desired {
			w = wanted{pool: h.Desired, at: in.Now}
		}
		next[id] = w
		if h.Phase == InService && !h.Failed && in.Now.Sub(w.at) >= MoveAfter {
			out = append(out, id)
		}
	}
	s.since = maps.Clone(next)
	slices.Sort(out)
	return out
}
