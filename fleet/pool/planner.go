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

// Delays and limits of plans.
const (
	// MoveDelay is how long the desired pool of a host must differ from its pool before
	// the host drains.
	MoveDelay = 2 * time.Second
	// MaxDrain is how long a host may drain before it is released.
	MaxDrain = 30 * time.Minute
	// MaxCommands limits the commands of one plan. The others wait for the next plan.
	MaxCommands = 256
	// checkInterval is the minimum time between two forecasts of a due wave.
	checkInterval = 10 * time.Second
)

// Input is the data from which a plan is made.
type Input struct {
	Now           time.Time
	Configuration configuration.Configuration
	View          *View
	// List is the platform's host list.
	List inventory.HostList
	// Platform holds the host states that the platform reported, as PlatformCache caches
	// them. It is nil while the platform does not answer.
	Platform map[inventory.HostID]PlatformHost
}

// Decision is the body of a record that the keeper appends.
type Decision struct {
	Kind journal.Kind
	Body any
}

// Planner decides what the keeper does next. The state that it keeps between plans only
// delays decisions, so a new holder of the duty can start with an empty planner.
type Planner struct {
	monitor   *monitor
	debouncer *moveDebouncer
	// lastCheck is when each due wave was last checked.
	lastCheck map[inventory.WaveID]time.Time
}

// NewPlanner returns a planner without state.
func NewPlanner() *Planner {
	return &Planner{monitor: newMonitor(), debouncer: newMoveDebouncer(), lastCheck: make(map[inventory.WaveID]time.Time)}
}

// Commands returns the commands that bring the platform in line with the state in
// Input.View.
func (p *Planner) Commands(in Input) []Command {
	if in.Platform == nil {
		return nil
	}
	var out []Command
	for _, id := range in.affected() {
		h := in.View.Hosts[id]
		reported, known := in.Platform[id]
		if verb := nextStep(*h, reported, known).command; verb != "" {
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

// affected returns the hosts that are draining, rebooting, returning or joining, and the
// hosts that the platform has not admitted, in order.
func (in Input) affected() []inventory.HostID {
	ids := maps.Clone(in.View.Active)
	for id := range in.Platform {
		if _, ok := in.View.Hosts[id]; ok {
			ids[id] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// Decisions returns the records that are due, in the order in which to append them:
// health first, then those that end disruptions, then those that start new ones.
func (p *Planner) Decisions(in Input) []Decision {
	var out []Decision
	if b := p.monitor.changes(in); len(b.Failed)+len(b.Returned) > 0 {
		out = append(out, Decision{KindHealth, b})
	}
	out = append(out, p.advance(in)...)
	out = append(out, p.passes(in)...)
	if g := p.grants(in); len(g.Requests) > 0 {
		out = append(out, Decision{KindGrant, g})
	}
	return out
}

// advance returns the records that take disrupted hosts to their next phase.
func (p *Planner) advance(in Input) []Decision {
	var release Release
	var reboot Reboot
	var handOver HandOver
	var admit Admit
	for _, id := range slices.Sorted(maps.Keys(in.View.Active)) {
		h := in.View.Hosts[id]
		if h.Phase == Draining && in.isOverdue(*h) {
			release.Hosts = append(release.Hosts, id)
			continue
		}
		if in.Platform == nil {
			continue
		}
		reported, known := in.Platform[id]
		switch s := nextStep(*h, reported, known); {
		case s.reboot:
			reboot.Hosts = append(reboot.Hosts, id)
		case s.handOver:
			handOver.Moves = append(handOver.Moves, Move{Host: id, From: h.Pool, To: h.Desired})
		case s.admit:
			admit.Hosts = append(admit.Hosts, id)
		}
	}
	var out []Decision
	if len(release.Hosts) > 0 {
		release.Why = "draining took too long"
		out = append(out, Decision{KindRelease, release})
	}
	if len(admit.Hosts) > 0 {
		out = append(out, Decision{KindAdmit, admit})
	}
	if len(handOver.Moves) > 0 {
		out = append(out, Decision{KindHandOver, handOver})
	}
	if len(reboot.Hosts) > 0 {
		out = append(out, Decision{KindReboot, reboot})
	}
	return out
}

// isOverdue reports whether a host has drained for too long, or its reboot would not end
// within the window of its wave.
func (in Input) isOverdue(h Host) bool {
	if in.Now.Sub(h.GrantedAt) > MaxDrain {
		return true
	}
	w, ok := in.Configuration.Waves[h.Wave]
	return ok && !wave.NewWindow(w).Fits(in.Now, w.RebootTime.AsDuration())
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
			if s, ok := p.checkWave(in, id); ok && s.State == WaveDue {
				out = append(out, Decision{KindPass, Pass{Wave: id, Pass: s.Pass + 1, Forecast: s.Forecast}})
			}
			continue
		}
		if pass.Finished.IsZero() && !in.View.isWaveActive(id) && !in.View.hasPending(w, pass) {
			out = append(out, Decision{KindFinish, Finish{Wave: id, Pass: pass.Pass}})
		}
	}
	return out
}

// checkWave returns the status of a due wave, at most once per checkInterval.
func (p *Planner) checkWave(in Input, id inventory.WaveID) (WaveStatus, bool) {
	if in.Now.Sub(p.lastCheck[id]) < checkInterval {
		return WaveStatus{}, false
	}
	p.lastCheck[id] = in.Now
	return NewWaveStatus(in.Now, in.Configuration, in.View, id), true
}

// grants requests as many hosts as the budgets allow, moves first.
func (p *Planner) grants(in Input) Grant {
	g := newGrantBuilder(in.View)
	var displaced []wave.Candidate
	for _, id := range p.debouncer.stable(in) {
		displaced = append(displaced, wave.Candidate{Host: id, Place: in.View.Hosts[id].Place()})
	}
	wave.SortByUrgency(displaced, in.View)
	for _, c := range displaced {
		g.add(c, Request{Host: c.Host})
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
					g.add(c, Request{Host: c.Host, Wave: id, Pass: pass.Pass})
				}
			}
		}
	}
	return Grant{Requests: g.requests}
}

// grantBuilder collects requests that fit the budgets together.
type grantBuilder struct {
	view *View
	// ledger is the view's until the first request, and a copy of it from then on.
	ledger    *budget.Ledger
	requested map[inventory.HostID]bool
	requests  []Request
}

func newGrantBuilder(v *View) *grantBuilder {
	return &grantBuilder{view: v, ledger: v.ledger, requested: make(map[inventory.HostID]bool)}
}

func (g *grantBuilder) isFull(p inventory.PoolID) bool {
	d := budget.Domain{Pool: p}
	return g.ledger.Count(d).Unavailable() >= g.ledger.Limit(d)
}

func (g *grantBuilder) add(c wave.Candidate, q Request) {
	if g.requested[c.Host] || !g.ledger.Allows(c.Place) {
		return
	}
	if len(g.requests) == 0 {
		g.ledger = g.ledger.Clone()
	}
	g.ledger.Remove(c.Place, budget.Available)
	g.ledger.Add(c.Place, budget.Draining)
	g.requested[c.Host] = true
	g.requests = append(g.requests, q)
}

// isDue reports whether the next pass of a wave is due.
func isDue(now time.Time, w configuration.Wave, p wave.Progress) bool {
	return p.Pass == 0 || !now.Before(p.Started.Add(w.Period.AsDuration()))
}

// isOpen reports whether a wave may start to drain a host now.
func isOpen(now time.Time, w configuration.Wave, p wave.Progress) bool {
	if w.Paused || w.Aborted || p.Pass == 0 {
		return false
	}
	return wave.NewWindow(w).Fits(now, hostDowntime(w, p))
}

// hostDowntime returns how long one host of the wave is expected to be out of service.
func hostDowntime(w configuration.Wave, p wave.Progress) time.Duration {
	return p.Duration(wave.DrainTime + w.RebootTime.AsDuration())
}

// candidates returns the hosts of a pool that the pass still has to reboot, in order.
func candidates(v *View, p inventory.PoolID, pass wave.Progress) []wave.Candidate {
	all := unorderedCandidates(v, p, pass)
	wave.SortByUrgency(all, v)
	return all
}

// unorderedCandidates returns the hosts of a pool that the pass still has to reboot. It
// leaves out failed hosts until they recover.
func unorderedCandidates(v *View, p inventory.PoolID, pass wave.Progress) []wave.Candidate {
	var all []wave.Candidate
	for _, id := range v.members[p] {
		if v.isPending(id, pass) {
			all = append(all, wave.Candidate{Host: id, Place: v.Hosts[id].Place()})
		}
	}
	return all
}

// isPending reports whether the pass still has to reboot the host.
func (v *View) isPending(id inventory.HostID, pass wave.Progress) bool {
	_, rebooted := pass.Rebooted[id]
	return !rebooted && !v.Hosts[id].Failed
}

// hasPending reports whether the pass still has to reboot any host.
func (v *View) hasPending(w configuration.Wave, pass wave.Progress) bool {
	for _, p := range w.Pools {
		for _, id := range v.members[p] {
			if v.isPending(id, pass) {
				return true
			}
		}
	}
	return false
}
