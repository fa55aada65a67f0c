// Package overload orders waiting work when a pool has too little capacity for all of it: the
// work whose delay costs callers least comes last. It is a policy without I/O.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/priority"
)

// Class says what a plan expects of a piece of work.
type Class int

const (
	// InTime work is expected to end by its deadline.
	InTime Class = iota
	// Late work was deferred and is expected to end by its latest useful end.
	Late
	// Overdue work is expected to end after that. It must still be done.
	Overdue
)

// Work is one piece of waiting work, such as a job. K is what the caller knows it by.
type Work[K any] struct {
	Key K
	// Priority orders work strictly; 0 comes first.
	Priority   int
	AcceptedAt time.Time
	// Deadline is the end up to which the result has its full value, LatestEnd the one up to which
	// it has any.
	Deadline, LatestEnd time.Time
	// Remaining is how long the pool would take for the tasks that haven't started if it worked on
	// nothing else. Only ratios between the pool's work and its capacity matter.
	Remaining time.Duration
	// Path is how long the work takes with all the capacity that it needs.
	Path time.Duration
	// BeyondShare is set if the workspace's share had been used up when the work was accepted.
	BeyondShare bool
	// Share is the index of the workspace's Share in the Pool.
	Share int
	// Draw is a number in [0, 1) that stays the same for a piece of work, and is distributed evenly over all.
	Draw float64
	// Class is the result of the plan.
	Class Class
}

// Share is what a workspace is entitled to, relative to others, and what it uses.
type Share struct {
	// Weight is relative to those of others. 0 counts as 1.
	Weight float64
	// Use is the dominant share of the capacity that the workspace's runs use.
	Use float64
}

// Pool is the capacity that waiting work competes for.
type Pool struct {
	// Now is the part of the pool's capacity that is in service, 1 if no host is on its way. The
	// rest joins it after FullAfter.
	Now       float64
	FullAfter time.Duration
	// Running is how long the whole pool would take for the rest of what is running.
	Running time.Duration
	// OverloadedFor is how long plans for the pool have deferred work.
	OverloadedFor time.Duration
	// Shares are the workspaces. Work of none refers to a Share of its own, by convention the first.
	Shares []Share
}

// end returns how long the pool takes for an amount of work.
func (p *Pool) end(work float64) float64 {
	full := p.FullAfter.Seconds()
	switch early := p.Now * full; {
	case p.Now >= 1 || full <= 0:
		return work
	case work <= early:
		return work / p.Now
	default:
		return full + work - early
	}
}

// Config holds the parameters of the policy.
type Config struct {
	// Margin is the part by which the pool's work is assumed to exceed its estimate.
	Margin float64
	// Tail is the part of the work's own path that is added to the time at which the pool has got
	// to its end, since its last tasks start only about then.
	Tail float64
	// Spread says how much chance counts against size in lasting overload. Of work that competes, pieces
	// r times as large as others are served r^(-1/Spread) times as often.
	Spread float64
	// SpreadFrom is how long overload lasts before chance counts, SpreadUntil until it counts fully. After a short
	// peak deferred work can still be of use, but in lasting overload its turn never comes.
	SpreadFrom, SpreadUntil time.Duration
}

// DefaultConfig has the values for which docs/design/overload.md gives figures.
var DefaultConfig = Config{Margin: 0.1, Tail: 1, Spread: 16, SpreadFrom: 5 * time.Second, SpreadUntil: 10 * time.Second}

// spread returns how much chance counts after a time of overload.
func (c Config) spread(overloadedFor time.Duration) float64 {
	part := float64(overloadedFor-c.SpreadFrom) / float64(max(c.SpreadUntil-c.SpreadFrom, 1))
	return c.Spread * min(max(part, 0), 1)
}

const (
	// minUse is a use that all workspaces together are assumed to have in any case, so that the first pieces of a
	// plan don't count as all that is used.
	minUse = 0.2
	// useSteps is the number of steps in which the use of a workspace counts relative to that of all: without
	// steps, rounding errors would decide between equal ones.
	useSteps = 32
	// minDraw is the least draw. Without it, some work would cost nothing however large it is.
	minDraw = 0.01
)

// Planner orders work. It keeps its buffers between plans and isn't safe for concurrent use.
type Planner[K any] struct {
	cfg            Config
	entries        []entry
	byLevel, order []int
	// planned is the work of each workspace that the plan has in time so far.
	planned []float64
	// competing are the workspaces with work in the plan, total their use and planned work, and weights the sum of their
	// weights.
	competing      []bool
	total, weights float64
	spread         float64
	// deferred is the work of one level that the plan doesn't have in time.
	deferred, overdue []int
}

// entry is a piece of work in a plan. Times are in seconds from now.
type entry struct {
	index, share int
	level        level
	// start is the time by which the pool must have got to the end of the work.
	start, latestStart float64
	remaining          float64
	// cost is what serving the work costs others, in no unit.
	cost, draw float64
	accepted   time.Duration
	class      Class
	// isDeferred is set unless the plan has the work in time. node is the work's place among that in time.
	isDeferred bool
	node       priority.Entry[*entry]
}

// level is a set of work that comes as a whole before later ones, apart from overdue work, which
// comes after all other work of its priority.
type level struct {
	priority    int
	beyondShare bool
}

func (l level) compare(o level) int {
	return cmp.Or(cmp.Compare(l.priority, o.priority), compareBool(l.beyondShare, o.beyondShare))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// New returns a planner.
func New[K any](cfg Config) *Planner[K] {
	return &Planner[K]{cfg: cfg}
}

// Plan sets the class of each piece of work, returns the indexes of the work in the order in which it should
// start, and reports whether work was deferred. The result is valid until the next call. Work of equal rank keeps the order given.
//
// Priorities come one after the other. In each, work within its workspace's share comes before work
// beyond it. In each of these levels, work is taken by deadline; once a piece would end late, the
// one that costs most of those taken so far is deferred. The cost is the remaining work times the weighted use of
// its workspace relative to that of all. Work in time comes first, then deferred work that can still be of use, in both the
// one that costs least first: work that is ended early keeps its value if estimates are off, and unlike
// work by deadline it doesn't all end just too late. Overdue work of a priority comes
// last in the order of acceptance, whatever its share.
//
// The time is O(n log n).
func (p *Planner[K]) Plan(now time.Time, pool Pool, work []Work[K]) (order []int, isOverloaded bool) {
	p.load(now, pool, work)
	used := pool.Running.Seconds()
	byLevel := p.sorted()
	out := p.order[:0]
	for len(byLevel) > 0 {
		priority := p.entries[byLevel[0]].level.priority
		p.overdue = p.overdue[:0]
		for len(byLevel) > 0 && p.entries[byLevel[0]].level.priority == priority {
			first := p.entries[byLevel[0]].level
			n := 1
			for n < len(byLevel) && p.entries[byLevel[n]].level == first {
				n++
			}
			out, used = p.planLevel(pool, byLevel[:n], out, used)
			byLevel = byLevel[n:]
		}
		slices.SortFunc(p.overdue, func(a, b int) int {
			if c := cmp.Compare(p.entries[a].accepted, p.entries[b].accepted); c != 0 {
				return c
			}
			return cmp.Compare(a, b)
		})
		for _, i := range p.overdue {
			used += p.entries[i].remaining
		}
		out = append(out, p.overdue...)
	}
	for i := range p.entries {
		e := &p.entries[i]
		work[e.index].Class = e.class
		isOverloaded = isOverloaded || e.isDeferred
	}
	p.order = out
	return out, isOverloaded
}

// load fills the entries from the work.
func (p *Planner[K]) load(now time.Time, pool Pool, work []Work[K]) {
	p.entries = slices.Grow(p.entries[:0], len(work))
	p.planned = append(p.planned[:0], make([]float64, len(pool.Shares))...)
	p.spread = p.cfg.spread(pool.OverloadedFor)
	p.total, p.weights = minUse, 0
	p.competing = append(p.competing[:0], make([]bool, len(pool.Shares))...)
	for i := range work {
		w := &work[i]
		if !p.competing[w.Share] {
			p.competing[w.Share] = true
			p.total += pool.Shares[w.Share].Use
			p.weights += weight(pool.Shares[w.Share])
		}
		path := w.Path.Seconds()
		e := entry{
			index: i, share: w.Share, level: level{w.Priority, w.BeyondShare}, accepted: w.AcceptedAt.Sub(now),
			start: w.Deadline.Sub(now).Seconds(), latestStart: w.LatestEnd.Sub(now).Seconds(), remaining: w.Remaining.Seconds(),
		}
		// Work that can't end in time with all the capacity that it needs has no start in time either.
		e.start = latestStart(e.start, path, p.cfg.Tail)
		e.latestStart = latestStart(e.latestStart, path, p.cfg.Tail)
		e.draw = w.Draw
		p.entries = append(p.entries, e)
	}
}

// latestStart returns by when the pool must have got to the end of work for it to end by a time.
func latestStart(end, path, tail float64) float64 {
	if path > end {
		return -1
	}
	return end - tail*path
}

// cost returns what serving a piece of work costs others: its remaining work, weighted by chance and by how much
// the workspace uses compared with others.
func (p *Planner[K]) cost(pool Pool, e *entry) float64 {
	part := weight(pool.Shares[e.share]) / p.weights
	use := (pool.Shares[e.share].Use + p.planned[e.share] + minUse*part) / (p.total * part)
	use = max(math.Round(use*useSteps), 1) / useSteps
	cost := e.remaining * use
	return cost * ChanceFactor(e.draw, p.spread)
}

// compareCost orders indexes of entries by cost.
func (p *Planner[K]) compareCost(a, b int) int {
	return p.entries[a].compareCost(&p.entries[b])
}

// sorted returns the indexes of the entries by level, then by latest start.
func (p *Planner[K]) sorted() []int {
	byLevel := p.byLevel[:0]
	for i := range p.entries {
		byLevel = append(byLevel, i)
	}
	p.byLevel = byLevel
	slices.SortFunc(byLevel, func(a, b int) int {
		x, y := &p.entries[a], &p.entries[b]
		switch {
		case x.level != y.level:
			return x.level.compare(y.level)
		case x.start < y.start:
			return -1
		case x.start > y.start:
			return 1
		default:
			return cmp.Compare(a, b)
		}
	})
	return byLevel
}

// planLevel appends the work of one level that is in time or late to out, and collects what is overdue. The
// pool takes used for what comes before; planLevel returns that with the level's work.
func (p *Planner[K]) planLevel(pool Pool, entries, out []int, used float64) ([]int, float64) {
	inTime := priority.NewQueue(func(a, b *entry) bool { return a.compareCost(b) > 0 })
	base := used
	for _, i := range entries {
		e := &p.entries[i]
		e.cost = p.cost(pool, e)
		if p.end(pool, base+e.remaining) > e.start {
			e.isDeferred = true
			continue
		}
		e.node.Value = e
		inTime.PushEntry(&e.node)
		used += e.remaining
		p.planned[e.share] += e.remaining
		p.total += e.remaining
		for !e.isDeferred && p.end(pool, used) > e.start {
			worst, _ := inTime.Pop()
			worst.isDeferred = true
			used -= worst.remaining
			p.planned[worst.share] -= worst.remaining
			p.total -= worst.remaining
		}
	}
	p.deferred = p.deferred[:0]
	from := len(out)
	for _, i := range entries {
		if p.entries[i].isDeferred {
			p.deferred = append(p.deferred, i)
		} else {
			out = append(out, i)
		}
	}
	slices.SortFunc(out[from:], p.compareCost)
	slices.SortFunc(p.deferred, p.compareCost)
	for _, i := range p.deferred {
		e := &p.entries[i]
		if p.end(pool, used+e.remaining) > e.latestStart {
			e.class = Overdue
			p.overdue = append(p.overdue, i)
			continue
		}
		e.class = Late
		used += e.remaining
		out = append(out, i)
	}
	return out, used
}

// end returns when the pool has got to the end of an amount of work, in seconds from now.
func (p *Planner[K]) end(pool Pool, work float64) float64 {
	return pool.end(work * (1 + p.cfg.Margin))
}

func weight(s Share) float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// compareCost orders entries by cost, and of those that cost the same the later one last.
func (e *entry) compareCost(o *entry) int {
	switch {
	case e.cost < o.cost:
		return -1
	case e.cost > o.cost:
		return 1
	default:
		return cmp.Or(cmp.Compare(e.accepted, o.accepted), cmp.Compare(e.index, o.index))
	}
}
