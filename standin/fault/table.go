// Package fault holds the faults that a stand-in shows on demand.
package fault

import (
	"sync"
	"time"
)

// Kind names a fault.
type Kind string

// The faults that the stand-ins know.
const (
	// Down answers nothing: the connection is closed before any effect.
	Down Kind = "Down"
	// Slow delays each answer by the fault's Delay.
	Slow Kind = "Slow"
	// AnswerLost takes effect and closes the connection without an answer.
	AnswerLost Kind = "AnswerLost"
	// StaleList freezes the host list.
	StaleList Kind = "StaleList"
	// LeaseLapse makes a worker drop its leases at once.
	LeaseLapse Kind = "LeaseLapse"
	// FailTasks makes a worker fail everything that it starts.
	FailTasks Kind = "FailTasks"
	// UsageMissing makes a worker leave out its last usage report.
	UsageMissing Kind = "UsageMissing"
	// UsageRepeated makes a worker tell each usage report twice.
	UsageRepeated Kind = "UsageRepeated"
	// Refuse makes a backend server refuse with 503 before it does anything.
	Refuse Kind = "Refuse"
	// CutAnswer makes a backend server close in the middle of an answer.
	CutAnswer Kind = "CutAnswer"
	// Leaving makes a backend server say that it leaves.
	Leaving Kind = "Leaving"
)

// Forever is a Count that never runs out.
const Forever = -1

// Fault is one entry of a table.
type Fault struct {
	Kind Kind
	// Target is the thing the fault applies to, for example a worker; empty
	// means everything.
	Target string `json:",omitempty"`
	// Count is how many times the fault still shows, or Forever.
	Count int
	// Delay is for Slow only.
	Delay time.Duration `json:",omitempty"`
}

// Table is the faults in force. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// faults holds no entry whose Count is 0.
	faults []Fault
}

// Set puts a fault in force and replaces one of the same kind and target. A
// Count of 0 takes it away.
func (t *Table) Set(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.faults[:0]
	for _, o := range t.faults {
		if o.Kind != f.Kind || o.Target != f.Target {
			kept = append(kept, o)
		}
	}
	if f.Count != 0 {
		kept = append(kept, f)
	}
	t.faults = kept
}

// Clear takes all faults away.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = nil
}

// Take reports whether a fault of the kind applies to the target and counts it
// as shown.
func (t *Table) Take(kind Kind, target string) (Fault, bool) {
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

// List returns the faults in force.
func (t *Table) List() []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Fault(nil), t.faults...)
}
