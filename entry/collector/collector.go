// Package collector sets the target percentage of the garbage collector (GOGC) by the load of the
// process: memory is spent on fewer collections only while processor time is short.
package collector

const (
	// BasePercent applies while processor time isn't short. It is below the default of 100 because
	// memory costs more than processor time then.
	BasePercent = 60
	// maxPercent is the highest percentage. Above it the collector's share of the processor time
	// hardly falls any more.
	maxPercent = 400
	// busyUse is the use from which the percentage rises, fullUse the one at which it is maxPercent.
	// At BasePercent collections take up to a third of the time of a leader with many tasks, so waiting for
	// a use of 1 would be too late. Leaders of small deployments stay below busyUse, where memory costs more.
	busyUse = 0.45
	fullUse = 0.55
	// maxHeapShare bounds the heap at the start of a collection, as a share of the memory limit. The
	// rest is for stacks, buffers of sockets and what is allocated during a collection.
	maxHeapShare = 0.4
)

// Load is what the percentage depends on.
type Load struct {
	// MemoryLimit bounds the memory of the process in bytes; 0 means that it isn't known.
	MemoryLimit uint64
	// LiveHeap is what the last collection left, in bytes.
	LiveHeap uint64
	// Use is the processor time that the process used recently, as a part of what it gets: 1 is all of
	// it.
	Use float64
	// Leads is whether the process runs the scheduler.
	Leads bool
}

// Policy decides the percentage. The zero value has seen no load. While the process leads, the part of
// the percentage that follows the use never falls: memory is charged by its peak, so a lower percentage
// after a peak would only cost processor time in the next one.
type Policy struct {
	// wanted is the highest percentage since the process leads that the use called for.
	wanted float64
}

// Next returns the percentage for a load, from BasePercent to maxPercent.
func (p *Policy) Next(l Load) int {
	if !l.Leads {
		p.wanted = 0
		return BasePercent
	}
	rise := min(max((l.Use-busyUse)/(fullUse-busyUse), 0), 1)
	p.wanted = max(p.wanted, BasePercent+rise*(maxPercent-BasePercent))
	return int(max(min(p.wanted, affordable(l)), BasePercent))
}

// affordable returns the percentage at which the heap grows to maxHeapShare of the memory limit.
func affordable(l Load) float64 {
	if l.LiveHeap == 0 {
		return maxPercent
	}
	return (maxHeapShare*float64(l.MemoryLimit)/float64(l.LiveHeap) - 1) * 100
}
