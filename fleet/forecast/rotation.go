package forecast

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// periodTolerance is by how much the times between turns may differ to count as regular.
	periodTolerance = time.Second
	// minPeriod is the least time between two turns of a queue that is learned: hosts could not leave in
	// between.
	minPeriod = 3 * time.Second
	// minGaps is the number of equal times between the turns of different queues in a row after which
	// the order of turns counts as regular.
	minGaps = 3
	// missDelay is how long after its predicted beginning a turn must have begun.
	missDelay = 1200 * time.Millisecond
	// expectedWithin is how far from its predicted time a turn may begin to be recognised by fewer jobs.
	expectedWithin = time.Second
)

// onset is the beginning of a turn.
type onset struct {
	queue string
	at    time.Time
}

// Demand measures the arrivals of queues and predicts turns that recur with a regular period. The
// period is the time between two turns of one queue. If turns follow one another at equal times until
// each queue has had one, the period is known once the last one has begun.
type Demand struct {
	queues map[string]*Arrivals
	// onsets are the latest turns of all queues in order.
	onsets []onset
	// period is 0 while none is known. gap is the time between the last two turns of the queue whose
	// turn came last, 0 if no queue had two.
	period, gap time.Duration
}

// NewDemand returns a Demand without queues.
func NewDemand() *Demand {
	return &Demand{queues: make(map[string]*Arrivals)}
}

// Add counts a job of a queue, as Arrivals.Add does.
func (d *Demand) Add(now time.Time, queue string, work float64, chain time.Duration) {
	a := d.queues[queue]
	if a == nil {
		a = &Arrivals{}
		d.queues[queue] = a
	}
	a.Add(now, work, chain)
}

// Advance recognises turns. It has to be called at least every onsetWindow.
func (d *Demand) Advance(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(d.queues)) {
		a := d.queues[name]
		at, ok := d.next(name)
		if a.Advance(now, ok && now.Sub(at).Abs() <= expectedWithin) {
			d.learn(onset{name, startOf(a.onset)})
		}
	}
	if d.period == 0 {
		return
	}
	for name, a := range d.queues {
		if at, ok := d.next(name); ok && !a.inTurn && now.Sub(at) > missDelay {
			d.period = 0
			d.onsets = slices.DeleteFunc(d.onsets, func(o onset) bool { return o.queue == name })
			return
		}
	}
}

// learn takes the beginning of a turn into account.
func (d *Demand) learn(o onset) {
	earlier, ok := d.last(o.queue)
	d.onsets = append(d.onsets, o)
	if len(d.onsets) > 4*len(d.queues) {
		d.onsets = d.onsets[1:]
	}
	if !ok {
		d.closeRotation()
		return
	}
	gap := o.at.Sub(earlier)
	if gap < minPeriod {
		return
	}
	if d.period > 0 && (gap-d.period).Abs() > periodTolerance {
		d.period, d.onsets = 0, []onset{o}
	} else if d.period > 0 || (gap-d.gap).Abs() <= periodTolerance || d.isOnGrid() {
		// The first jobs of a queue's turn come up to some tenths of a second after its beginning.
		d.period = gap
		if d.gap > 0 {
			d.period = (gap + d.gap) / 2
		}
	}
	d.gap = gap
}

// closeRotation sets the period once the first turn of the last queue has begun, if the turns of all
// queues followed one another at equal times.
func (d *Demand) closeRotation() {
	n := len(d.queues)
	if d.period > 0 || !d.isRegular() || !d.everyQueueHadOne() {
		return
	}
	first, last := d.onsets[len(d.onsets)-n], d.onsets[len(d.onsets)-1]
	d.period = last.at.Sub(first.at) * time.Duration(n) / time.Duration(n-1)
}

// isRegular reports whether the last turns, minGaps and one, began at equal times after one another.
func (d *Demand) isRegular() bool {
	n := len(d.onsets)
	if n <= minGaps {
		return false
	}
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for i := n - minGaps; i < n; i++ {
		gap := d.onsets[i].at.Sub(d.onsets[i-1].at)
		shortest, longest = min(shortest, gap), max(longest, gap)
	}
	return longest-shortest <= periodTolerance && shortest >= time.Second
}

// isOnGrid reports whether the last turns, of several queues, began at multiples of one time after one
// another, at least two of them at that time itself: a turn in between was too small to be recognised.
func (d *Demand) isOnGrid() bool {
	var gaps []time.Duration
	several := false
	for i := max(1, len(d.onsets)-minGaps); i < len(d.onsets); i++ {
		several = several || d.onsets[i].queue != d.onsets[i-1].queue
		gaps = append(gaps, d.onsets[i].at.Sub(d.onsets[i-1].at))
	}
	if !several || len(gaps) < 2 || slices.Min(gaps) < minPeriod {
		return false
	}
	single, singles := slices.Min(gaps), 0
	for _, gap := range gaps {
		k := gap.Round(single) / single
		if (gap - k*single).Abs() > single/6 {
			return false
		}
		if k == 1 {
			singles++
		}
	}
	return singles >= 2
}

// everyQueueHadOne reports whether the last turns were one of each queue.
func (d *Demand) everyQueueHadOne() bool {
	n := len(d.queues)
	if len(d.onsets) < n {
		return false
	}
	seen := make(map[string]bool, n)
	for _, o := range d.onsets[len(d.onsets)-n:] {
		seen[o.queue] = true
	}
	return len(seen) == n
}

// last returns when the last turn of a queue began.
func (d *Demand) last(queue string) (time.Time, bool) {
	for i := len(d.onsets) - 1; i >= 0; i-- {
		if d.onsets[i].queue == queue {
			return d.onsets[i].at, true
		}
	}
	return time.Time{}, false
}

// next returns when the next turn of a queue begins, if that is known.
func (d *Demand) next(queue string) (time.Time, bool) {
	at, ok := d.last(queue)
	return at.Add(d.period), ok && d.period > 0
}

// Load returns the capacity that a queue's jobs will use after lead, in thousandths of a core, with
// the predicted turn that has begun by then.
func (d *Demand) Load(now time.Time, queue string, lead time.Duration) float64 {
	a := d.queues[queue]
	if a == nil {
		return 0
	}
	load := a.Load(now, lead)
	at, ok := d.next(queue)
	if !ok || a.inTurn || a.level == 0 {
		return load
	}
	begun := now.Add(lead).Sub(at).Seconds()
	if begun <= 0 {
		return load
	}
	return max(load, a.level*min(begun/max(a.chain, bucketTime.Seconds()), 1))
}

// EndedWithin reports whether the last turn of a queue ended at most since before now.
func (d *Demand) EndedWithin(now time.Time, queue string, since time.Duration) bool {
	a := d.queues[queue]
	return a != nil && !a.inTurn && a.endedAt > 0 && now.Sub(startOf(a.endedAt)) <= since
}

// Queues returns the names of the queues with jobs so far.
func (d *Demand) Queues() []string {
	return slices.Sorted(maps.Keys(d.queues))
}
