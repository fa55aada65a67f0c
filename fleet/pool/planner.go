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
)

// Input is what a plan is made from.
type Input struct {
	Now           time.Time
	Configuration configuration.Configuration
	View          *View
	// List is the platform's host list.
	List inventory.HostList
	// Platform holds the hosts that the platform has not admitted, and those that
	// have just answered a command. It is nil while the platform does not answer.
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
}

// NewPlanner returns a planner that remembers nothing.
func NewPlanner() *Planner {
	return &Planner{monitor: newMonitor(), settling: newSettling()}
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
		if verb := nextStep(h, told, known).command; verb != "" {
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
	out = append(out, passes(in)...)
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
		if h.Phase == Draining && in.isOverdue(h) {
			back.Hosts = append(back.Hosts, id)
			continue
		}
		if in.Platform == nil {
			continue
		}
		told, known := in.Platform[id]
		switch s := nextStep(h, told, known); {
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
func passes(in Input) []Decision {
	var out []Decision
	for _, id := range slices.Sorted(maps.Keys(in.Configuration.Waves)) {
		if w := in.Configuration.Waves[id]; w.Paused || w.Aborted {
			continue
		}
		s := NewWaveStatus(in.Now, in.Configuration, in.View, id)
		switch s.State {
		case WaveDue:
			out = append(out, Decision{KindPass, Pass{Wave: id, Pass: s.Pass + 1, Forecast: s.Forecast}})
		case WaveDone:
			if in.View.Waves[id].Finished.IsZero() {
				out = append(out, Decision{KindFinish, Finish{Wave: id, Pass: s.Pass}})
			}
		}
	}
	return out
}

// grants asks for as many hosts as the budgets have room for, moves first.
func (p *Planner) grants(in Input) Grant {
	var g Grant
	ledger := in.View.ledger.Clone()
	take := func(c wave.Candidate, q Request) {
		if ledger.Room(c.Place) != nil {
			return
		}
		ledger.Remove(c.Place, budget.Available)
		ledger.Add(c.Place, budget.Draining)
		g.Requests = append(g.Requests, q)
	}
	taken := make(map[inventory.HostID]bool)
	for _, id := range p.settling.settled(in) {
		take(wave.Candidate{Host: id, Place: in.View.Hosts[id].Place()}, Request{Host: id})
		taken[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(in.Configuration.Waves)) {
		w := in.Configuration.Waves[id]
		pass := in.View.Waves[id]
		if !isOpen(in.Now, w, pass) {
			continue
		}
		for _, c := range candidates(in.View, w, pass) {
			if h := in.View.Hosts[c.Host]; h.Phase == InService && !taken[c.Host] {
				take(c, Request{Host: c.Host, Wave: id, Pass: pass.Pass})
			}
		}
	}
	return g
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

// candidates returns the hosts that the pass has still to reboot, in order.
// Failed hosts are left out until they come back.
func candidates(v *View, w configuration.Wave, p wave.Progress) []wave.Candidate {
	var all []wave.Candidate
	for _, pool := range w.Pools {
		for _, id := range v.members[pool] {
			h := v.Hosts[id]
			if _, rebooted := p.Rebooted[id]; !rebooted && !h.Failed {
				all = append(all, wave.Candidate{Host: id, Place: h.Place()})
			}
		}
	}
	wave.Order(all, v)
	return all
}
