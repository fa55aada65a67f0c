package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

// Times and sizes of plans.
const (
	// MoveAfter is how long a host is wanted in another pool before it drains.
	MoveAfter = 2 * time.Second
	// MaxDrain is how long a host drains before it is given back.
	MaxDrain = 30 * time.Minute
	// MaxCommands bounds the commands of one plan; the rest waits for the next.
	MaxCommands = 256
	// checkEvery is the time between two forecasts of a wave that is due.
	checkEvery = 10 * time.Second
)

// Input is what a plan is made from.
type Input struct {
	Now           time.Time
	Configuration configuration.Configuration
	View          *View
	// List is the platform's host list.
	List inventory.HostList
	// Platform holds what the platform told of hosts, as Told keeps it. It is nil
	// while the platform does not answer.
	Platform map[inventory.HostID]PlatformHost
}

// Decision is the body of a record that the keeper appends.
type Decision struct {
	Kind journal.Kind
	Body any
}

// Planner decides what the keeper does next. What it remembers between plans only
// delays decisions, so a new holder of the duty starts with an empty one.
type Planner struct {
	monitor  *monitor
	settling *settling
	// checked is when a wave that is due was last checked.
	checked map[inventory.WaveID]time.Time
}

// NewPlanner returns a planner that remembers nothing.
func NewPlanner() *Planner {
	return &Planner{monitor: newMonitor(), settling: newSettling(), checked: make(map[inventory.WaveID]time.Time)}
}

// Commands returns the commands that bring the platform to the folded state.
func (p *Planner) Commands(in Input) []Command {
	if in.Platform == nil {
		return nil
	}
	var out []Command
	for _, id := range in.concerned() {
		h := in.View.Hosts[id]
		told, known := in.Platform[id]
		if verb := nextStep(*h, told, known).command; verb != "" {
			c := Command{Host: id, Verb: verb}
			if verb == RestartHost {
				c.Reboot = h.Reboot
			}
			out = append(out, c)
		}
		if len(out) == MaxCommands {
			break
		}
	}
	return out
}

// concerned returns the hosts that are disturbed, or that the platform has not
// admitted, in order.
func (in Input) concerned() []inventory.HostID {
	ids := maps.Clone(in.View.Active)
	for id := range in.Platform {
		if _, ok := in.View.Hosts[id]; ok {
			ids[id] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// Decisions returns the records that are due, in the order of appending: health
// first, then what ends disturbances, then what begins new ones.
func (p *Planner) Decisions(in Input) []Decision {
	var out []Decision
	if b := p.monitor.report(in); len(b.Failed)+len(b.Returned) > 0 {
		out = append(out, Decision{KindHealth, b})
	}
	out = append(out, p.steps(in)...)
	out = append(out, p.passes(in)...)
	if g := p.grants(in); len(g.Requests) > 0 {
		out = append(out, Decision{KindGrant, g})
	}
	return out
}

// steps returns the records that move disturbed hosts on.
func (p *Planner) steps(in Input) []Decision {
	var back GiveBack
	var reboot Reboot
	var over HandOver
	var admit Admit
	for _, id := range slices.Sorted(maps.Keys(in.View.Active)) {
		h := in.View.Hosts[id]
		if h.Phase == Draining && in.isOverdue(*h) {
			back.Hosts = append(back.Hosts, id)
			continue
		}
		if in.Platform == nil {
			continue
		}
		told, known := in.Platform[id]
		switch s := nextStep(*h, told, known); {
		case s.reboot:
			reboot.Hosts = append(reboot.Hosts, id)
		case s.handOver:
			over.Moves = append(over.Moves, Move{Host: id, From: h.Pool, To: h.Desired})
		case s.admit:
			admit.Hosts = append(admit.Hosts, id)
		}
	}
	var out []Decision
	if len(back.Hosts) > 0 {
		back.Why = "draining took too long"
		out = append(out, Decision{KindGiveBack, back})
	}
	if len(admit.Hosts) > 0 {
		out = append(out, Decision{KindAdmit, admit})
	}
	if len(over.Moves) > 0 {
		out = append(out, Decision{KindHandOver, over})
	}
	if len(reboot.Hosts) > 0 {
		out = append(out, Decision{KindReboot, reboot})
	}
	return out
}

// isOverdue reports whether a draining host takes too long, or its reboot would
// not end in the window of its wave.
func (in Input) isOverdue(h Host) bool {
	if in.Now.Sub(h.GrantedAt) > MaxDrain {
		return true
	}
	w, ok := in.Configuration.Waves[h.Wave]
	return ok && !wave.NewWindow(w).Fits(in.Now, w.RebootTime.Std())
}

// passes starts and finishes passes of waves.
func (p *Planner) passes(in Input) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(in.Configuration.Waves)) {
		w, pass := in.Configuration.Waves[id], in.View.Waves[id]
		if w.Paused || w.Aborted {
			continue
		}
		if isDue(in.Now, w, pass) {
			if _, open := wave.NewWindow(w).Open(in.Now); !open {
				continue
			}
			if s, ok := p.check(in, id); ok && s.State == WaveDue {
				out = append(out, Decision{KindPass, Pass{Wave: id, Pass: s.Pass + 1, Forecast: s.Forecast}})
			}
			continue
		}
		if pass.Finished.IsZero() && !in.View.isWaveActive(id) && !in.View.isAnyLeft(w, pass) {
			out = append(out, Decision{KindFinish, Finish{Wave: id, Pass: pass.Pass}})
		}
	}
	return out
}

// check returns the status of a wave that is due, once in checkEvery.
func (p *Planner) check(in Input, id inventory.WaveID) (WaveStatus, bool) {
	if in.Now.Sub(p.checked[id]) < checkEvery {
		return WaveStatus{}, false
	}
	p.checked[id] = in.Now
	return NewWaveStatus(in.Now, in.Configuration, in.View, id), true
}

// grants asks for as many hosts as the budgets have room for, moves first.
func (p *Planner) grants(in Input) Grant {
	g := newGrants(in.View)
	var displaced []wave.Candidate
	for _, id := range p.settling.settled(in) {
		displaced = append(displaced, wave.Candidate{Host: id, Place: in.View.Hosts[id].Place()})
	}
	wave.Order(displaced, in.View)
	for _, c := range displaced {
		g.take(c, Request{Host: c.Host})
	}
	for _, id := range slices.Sorted(maps.Keys(in.Configuration.Waves)) {
		w, pass := in.Configuration.Waves[id], in.View.Waves[id]
		if !isOpen(in.Now, w, pass) {
			continue
		}
		for _, pool := range w.Pools {
			if g.isFull(pool) {
				continue
			}
			for _, c := range candidates(in.View, pool, pass) {
				if g.isFull(pool) {
					break
				}
				if in.View.Hosts[c.Host].Phase == InService {
					g.take(c, Request{Host: c.Host, Wave: id, Pass: pass.Pass})
				}
			}
		}
	}
	return Grant{Requests: g.requests}
}

// grants collects requests that fit the budgets together.
type grants struct {
	view *View
	// ledger is a copy of the view's from the first request on.
	ledger   *budget.Ledger
	taken    map[inventory.HostID]bool
	requests []Request
}

func newGrants(v *View) *grants {
	return &grants{view: v, ledger: v.ledger, taken: make(map[inventory.HostID]bool)}
}

func (g *grants) isFull(p inventory.PoolID) bool {
	d := budget.Domain{Pool: p}
	return g.ledger.Count(d).Unavailable() >= g.ledger.Limit(d)
}

func (g *grants) take(c wave.Candidate, q Request) {
	if g.taken[c.Host] || !g.ledger.HasRoom(c.Place) {
		return
	}
	if len(g.requests) == 0 {
		g.ledger = g.ledger.Clone()
	}
	g.ledger.Remove(c.Place, budget.Available)
	g.ledger.Add(c.Place, budget.Draining)
	g.taken[c.Host] = true
	g.requests = append(g.requests, q)
}

// isDue reports whether the next pass of a wave is due.
func isDue(now time.Time, w configuration.Wave, p wave.Progress) bool {
	return p.Pass == 0 || !now.Before(p.Started.Add(w.Period.Std()))
}

// isOpen reports whether a wave may begin with a host now.
func isOpen(now time.Time, w configuration.Wave, p wave.Progress) bool {
	if w.Paused || w.Aborted || p.Pass == 0 {
		return false
	}
	return wave.NewWindow(w).Fits(now, hostDuration(w, p))
}

// hostDuration returns how long one host of the wave is expected to be away.
func hostDuration(w configuration.Wave, p wave.Progress) time.Duration {
	return p.Duration(wave.DrainTime + w.RebootTime.Std())
}

// candidates returns the hosts of a pool that the pass has still to reboot, in
// order.
func candidates(v *View, p inventory.PoolID, pass wave.Progress) []wave.Candidate {
	all := unordered(v, p, pass)
	wave.Order(all, v)
	return all
}

// unordered returns the hosts of a pool that the pass has still to reboot. Failed
// hosts are left out until they come back.
func unordered(v *View, p inventory.PoolID, pass wave.Progress) []wave.Candidate {
	var all []wave.Candidate
	for _, id := range v.members[p] {
		if v.isLeft(id, pass) {
			all = append(all, wave.Candidate{Host: id, Place: v.Hosts[id].Place()})
		}
	}
	return all
}

// isLeft reports whether the pass has still to reboot the host.
func (v *View) isLeft(id inventory.HostID, pass wave.Progress) bool {
	_, rebooted := pass.Rebooted[id]
	return !rebooted && !v.Hosts[id].Failed
}

// isAnyLeft reports whether the pass has still to reboot a host.
func (v *View) isAnyLeft(w configuration.Wave, pass wave.Progress) bool {
	for _, p := range w.Pools {
		for _, id := range v.members[p] {
			if v.isLeft(id, pass) {
				return true
			}
		}
	}
	return false
}
