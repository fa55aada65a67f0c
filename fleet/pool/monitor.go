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
	MaxRebootFactor = 2
	// ListLag is how long a host may be missing from the list after its reboot.
	ListLag = 15 * time.Second
)

// monitor tells failed hosts by the host list. It keeps nothing that a new
// holder of the duty has to know.
type monitor struct {
	// listed is since when a failed host is listed as live again.
	listed map[inventory.HostID]time.Time
	// up is since when a host that the keeper reboots is up at the platform and
	// missing from the list.
	up map[inventory.HostID]time.Time
	// hosts is the last list, and live its hosts that are live.
	hosts []inventory.ListedHost
	live  map[inventory.HostID]bool
}

func newMonitor() *monitor {
	return &monitor{listed: make(map[inventory.HostID]time.Time), up: make(map[inventory.HostID]time.Time)}
}

// report returns what changed between the folded state and the host list.
func (m *monitor) report(in Input) Health {
	if in.List.At.IsZero() || in.Now.Sub(in.List.At) > MaxListAge {
		return Health{}
	}
	concerned := in.View.concernedByHealth()
	if !m.isSameList(in.List.Hosts) {
		m.takeList(in.List.Hosts)
		concerned = slices.Collect(maps.Keys(in.View.Hosts))
	}
	var b Health
	for _, id := range concerned {
		h, live := in.View.Hosts[id], m.live[id]
		switch {
		case h.Failed && live:
			if m.isBack(id, in.Now) {
				b.Returned = append(b.Returned, id)
			}
		case !h.Failed && !live && !m.isExpectedAway(in, id, h):
			b.Failed = append(b.Failed, id)
		default:
			delete(m.listed, id)
		}
		if live {
			delete(m.up, id)
		}
	}
	slices.Sort(b.Failed)
	slices.Sort(b.Returned)
	return b
}

// isSameList reports whether the list is the very one that was taken last.
func (m *monitor) isSameList(hosts []inventory.ListedHost) bool {
	return m.live != nil && len(hosts) == len(m.hosts) && (len(hosts) == 0 || &hosts[0] == &m.hosts[0])
}

func (m *monitor) takeList(hosts []inventory.ListedHost) {
	m.hosts, m.live = hosts, make(map[inventory.HostID]bool, len(hosts))
	for _, l := range hosts {
		m.live[l.ID] = l.State == inventory.HostLive
	}
}

// concernedByHealth returns the hosts whose health can change under the same list.
func (v *View) concernedByHealth() []inventory.HostID {
	return append(slices.Collect(maps.Keys(v.Active)), v.failed...)
}

func (m *monitor) isBack(id inventory.HostID, now time.Time) bool {
	since, ok := m.listed[id]
	if !ok {
		m.listed[id] = now
		return false
	}
	return now.Sub(since) >= ReturnAfter
}

// isExpectedAway reports whether the host reboots, has not taken too long, and
// is not up again at the platform for longer than the list lags behind.
func (m *monitor) isExpectedAway(in Input, id inventory.HostID, h *Host) bool {
	if h.Phase != Rebooting {
		return false
	}
	if in.Now.Sub(h.RebootAt) > MaxRebootFactor*in.Configuration.Waves[h.Wave].RebootTime.Std() {
		return false
	}
	told, known := in.Platform[id]
	if !known || told.State == PlatformRebooting || told.Reboot != h.Reboot {
		delete(m.up, id)
		return true
	}
	since, seen := m.up[id]
	if !seen {
		m.up[id] = in.Now
		return true
	}
	return in.Now.Sub(since) < ListLag
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
	for _, id := range in.View.displaced {
		h := in.View.Hosts[id]
		w, ok := s.since[id]
		if !ok || w.pool != h.Desired {
			w = wanted{pool: h.Desired, at: in.Now}
		}
		next[id] = w
		if h.Phase == InService && !h.Failed && in.Now.Sub(w.at) >= MoveAfter {
			out = append(out, id)
		}
	}
	s.since = next
	slices.Sort(out)
	return out
}
