package overload

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Draw returns a number in [0, 1) that stays the same for the occurrence n of what id names, on all hosts.
func Draw(id string, n int) float64 {
	h := xxhash.Sum64String(id) + uint64(n)*0x9e3779b97f4a7c15
	return float64(h>>11) / (1 << 53)
}

// ChanceFactor is the factor by which chance changes a cost.
func ChanceFactor(draw, spread float64) float64 {
	if spread <= 0 {
		return 1
	}
	return math.Pow(max(draw, minDraw), spread)
}

// tieTolerance is the part by which equal costs may differ because of rounding.
const tieTolerance = 1e-6

// Backlog is the work of a plan that new work of one priority can't precede.
type Backlog struct {
	pool Pool
	// before is the work that comes first in any case: what is running and earlier priorities.
	before float64
	// costs are those of the work of the priority that is within its share and not overdue, in ascending order. sums
	// holds for each of them the work of all that cost less.
	costs, sums []float64
	// total is all work of the priority.
	total    float64
	leastUse float64
	// margin is that of the plan.
	margin float64
}

// Spread returns how much chance counted in the last plan.
func (p *Planner[K]) Spread() float64 {
	return p.spread
}

// Backlog returns the backlog for a priority by the last plan, which was made for the pool.
func (p *Planner[K]) Backlog(pool Pool, priority int) Backlog {
	b := Backlog{pool: pool, before: pool.Running.Seconds(), leastUse: p.leastUse(pool), margin: p.cfg.Margin}
	type piece struct{ cost, remaining float64 }
	var pieces []piece
	for i := range p.entries {
		e := &p.entries[i]
		if e.level.priority == priority {
			b.total += e.remaining
		}
		switch {
		case e.level.priority < priority:
			b.before += e.remaining
		case e.level == level{priority: priority} && e.class != Overdue:
			pieces = append(pieces, piece{e.cost, e.remaining})
		}
	}
	slices.SortFunc(pieces, func(a, b piece) int {
		if a.cost < b.cost {
			return -1
		} else if a.cost > b.cost {
			return 1
		}
		return 0
	})
	sum := 0.0
	for _, c := range pieces {
		b.costs, b.sums = append(b.costs, c.cost), append(b.sums, sum)
		sum += c.remaining
	}
	b.sums = append(b.sums, sum)
	return b
}

// leastUse returns the least weighted use of a workspace, by which new work can count.
func (p *Planner[K]) leastUse(pool Pool) float64 {
	least := math.Inf(1)
	for i, s := range pool.Shares {
		if i == 0 && len(pool.Shares) > 1 && !p.competing[i] {
			continue // no workspace
		}
		part := weight(s) / max(p.weights, weight(s))
		least = min(least, (s.Use+p.planned[i]+minUse*part)/(p.total*part))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return max(math.Floor(least*useSteps*(1+tieTolerance)), 1) / useSteps
}

// End returns the time after which the pool gets to the end of new work at the earliest. Work that costs less, or as much,
// comes first. If the new work is of use after that, which is the case up to latest, no other work counts; otherwise it is
// overdue, as the plan's margin has it, and comes after all work of its priority. cost is the work weighted by
// chance. The time has no margin.
func (b *Backlog) End(cost float64, remaining, latest time.Duration) time.Duration {
	i, _ := slices.BinarySearch(b.costs, cost*b.leastUse*(1+tieTolerance))
	if end := b.end(b.sums[i], remaining); float64(end)*(1+b.margin) <= float64(latest) {
		return end
	}
	return b.end(b.total, remaining)
}

// end returns the time after which the pool gets to the end of new work behind an amount of work of its priority.
func (b *Backlog) end(work float64, remaining time.Duration) time.Duration {
	return time.Duration(b.pool.end(b.before+work+remaining.Seconds()) * float64(time.Second))
}
