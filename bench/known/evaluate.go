package known

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// Errors of an evaluation.
var (
	// ErrFailed means that an unlisted figure or test failed.
	ErrFailed = eris.New("failed")
	// ErrPassed means that a listed figure or test passes, so its entry must be
	// removed.
	ErrPassed = eris.New("listed as a known failure but passes: the entry must go")
	// ErrNotRun means that a listed test was not run, so its state is unknown.
	ErrNotRun = eris.New("listed as a known failure but was not run")
)

// Result is the outcome of one figure or test.
type Result struct {
	Kind Kind
	Name string
	Seed uint64
	OK   bool
}

// Evaluation is the outcome of comparing results with the list.
type Evaluation struct {
	// Known lists the entries whose failure occurred and is permitted.
	Known []Entry
	// Errors lists why the run fails: results in order, then listed tests that were
	// not run.
	Errors []error
}

// Evaluate compares results with the list. It ignores entries of figures that were
// not measured, and entries of tests that were not run unless complete is set.
func Evaluate(entries []Entry, results []Result, complete bool) Evaluation {
	var evaluation Evaluation
	listed := make(map[string]Entry)
	for _, e := range entries {
		listed[keyOf(e.Kind, e.Name, e.Seed)] = e
	}
	ran := make(map[string]bool)
	for _, r := range results {
		key := keyOf(r.Kind, r.Name, r.Seed)
		e, isListed := listed[key]
		ran[key] = true
		switch {
		case !r.OK && !isListed:
			evaluation.Errors = append(evaluation.Errors, eris.Wrap(ErrFailed, r.Name))
		case !r.OK:
			evaluation.Known = append(evaluation.Known, e)
		case isListed && e.Kind != Flaky:
			evaluation.Errors = append(evaluation.Errors, eris.Wrap(ErrPassed, r.Name))
		}
	}
	for _, e := range entries {
		if complete && e.Kind != Figure && e.Kind != Day && !ran[keyOf(e.Kind, e.Name, e.Seed)] {
			evaluation.Errors = append(evaluation.Errors, eris.Wrap(ErrNotRun, e.Name))
		}
	}
	return evaluation
}

// keyOf returns the key that matches entries and results. Figures and days are keyed
// by name and seed, tests by name only, as they set their own seeds.
func keyOf(k Kind, name string, seed uint64) string {
	if k == Figure || k == Day {
		return string(k) + " " + name + " " + strconv.FormatUint(seed, 10)
	}
	return "test " + name
}
