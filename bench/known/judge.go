package known

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// Errors of judging.
var (
	// ErrFailed means that something failed that is not listed.
	ErrFailed = eris.New("failed")
	// ErrMended means that an entry no longer fails and must go from the list.
	ErrMended = eris.New("listed as a known failure but passes: the entry must go")
	// ErrNotRun means that a listed test was not run, so that nobody can tell.
	ErrNotRun = eris.New("listed as a known failure but was not run")
)

// Verdict is what became of one figure or test.
type Verdict struct {
	Kind Kind
	Name string
	Seed uint64
	OK   bool
}

// Judgement says which verdicts pass by the list.
type Judgement struct {
	// Known are the entries whose failure was seen and passes.
	Known []Entry
	// Errors are the verdicts that fail the run, in order.
	Errors []error
}

// Judge compares verdicts with the list. Entries of figures that were not
// measured are left alone; those of tests as well, unless complete is set.
func Judge(entries []Entry, verdicts []Verdict, complete bool) Judgement {
	var j Judgement
	listed := make(map[string]Entry)
	for _, e := range entries {
		listed[keyOf(e.Kind, e.Name, e.Seed)] = e
	}
	ran := make(map[string]bool)
	for _, v := range verdicts {
		key := keyOf(v.Kind, v.Name, v.Seed)
		e, isListed := listed[key]
		ran[key] = true
		switch {
		case !v.OK && !isListed:
			j.Errors = append(j.Errors, eris.Wrap(ErrFailed, v.Name))
		case !v.OK:
			j.Known = append(j.Known, e)
		case isListed && e.Kind != Flaky:
			j.Errors = append(j.Errors, eris.Wrap(ErrMended, v.Name))
		}
	}
	for _, e := range entries {
		if complete && e.Kind != Figure && e.Kind != Day && !ran[keyOf(e.Kind, e.Name, e.Seed)] {
			j.Errors = append(j.Errors, eris.Wrap(ErrNotRun, e.Name))
		}
	}
	return j
}

// keyOf tells figures and days by name and seed and tests by name: tests fix their
// seeds themselves.
func keyOf(k Kind, name string, seed uint64) string {
	if k == Figure || k == Day {
		return string(k) + " " + name + " " + strconv.FormatUint(seed, 10)
	}
	return "test " + name
}
