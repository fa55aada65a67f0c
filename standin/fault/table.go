// Package fault holds the faults that a stand-in injects on demand.
package fault

import (
	"sync"
	"time"
)

// Kind names a fault.
type Kind string

// The faults that the stand-ins support.
const (
	// Down closes the connection before any effect and without an answer.
	Down Kind = "Down"
	// Slow delays each answer by the fault's Delay.
	Slow Kind = "Slow"
	// AnswerLost performs the call and closes the connection without an answer.
	AnswerLost Kind = "AnswerLost"
	// StaleList freezes the host list.
	StaleList Kind = "StaleList"
	// LeaseLapse makes a worker's leases expire at once.
	LeaseLapse Kind = "LeaseLapse"
	// FailTasks makes a worker fail each task that it starts.
	FailTasks Kind = "FailTasks"
	// UsageMissing makes a worker omit its last usage report.
	UsageMissing Kind = "UsageMissing"
	// UsageRepeated makes a worker send each usage report twice.
	UsageRepeated Kind = "UsageRepeated"
	// Refuse makes a backend server answer with 503 before any effect.
	Refuse Kind = "Refuse"
	// CutAnswer makes a backend server close the connection in the middle of an answer.
	CutAnswer Kind = "CutAnswer"
	// Leaving makes a backend server report that it is shutting down.
	Leaving Kind = "Leaving"
)

// Forever is a Count without a limit.
const Forever = -1

// Fault is one entry of a table.
type Fault struct {
	Kind Kind
	// Target is what the fault applies to, for example a worker; empty means everything.
	Target string `json:",omitempty"`
	// Count is how many more times the fault occurs, or Forever.
	Count int
	// Delay is the delay of Slow; other kinds ignore it.
	Delay time.Duration `json:",omitempty"`
}

// Table holds the active faults. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// faults holds no entry whose Count is 0.
	faults []Fault
}

// Set activates a fault and replaces one of the same kind and target. A Count of 0 removes
// it.
func (t *Table) Set(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.faults[:0]
	for _, active := range t.faults {
		if active.Kind != f.Kind || active.Target != f.Target {
			kept = append(kept, active)
		}
	}
	if f.Count != 0 {
		kept = append(kept, f)
	}
	t.faults = kept
}

// Clear removes all faults.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = nil
}

// Use returns a fault of the kind that applies to the target, if there is one, and counts
// it as used.
func (t *Table) Use(kind Kind, target string) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.faults {
		if f.Kind != kind || (f.Target != "" && f.Target != target) {
			continue
		}
		if f.Count != Forever {
			t.faults[i].Count--
		}
		if t.faults[i].Count == 0 {
			t.faults = append(t.faults[:i], t.faults[i+1:]...)
		}
		return f, true
	}
	return Fault{}, false
}

// List returns the active faults.
func (t *Table) List() []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Fault(nil), t.faults...)
}
