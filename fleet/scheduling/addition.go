package scheduling

import "slices"

// additions is a list of names that grows by one at a time. A new name is in effect once it is
// stored, so that the next leader knows of it.
type additions struct {
	// stored are in effect; next are those of the next record, and restored those that earlier leaders
	// stored.
	stored, next, restored []string
	// isAdding is set while an addition isn't stored; no other name is added meanwhile.
	isAdding bool
}

func restoredAdditions(names []string) additions {
	return additions{stored: names, next: names, restored: names}
}

// contains reports whether a name is in effect.
func (a *additions) contains(name string) bool {
	return slices.Contains(a.stored, name)
}

// add makes a name part of the next record.
func (a *additions) add(name string) {
	a.isAdding = true
	a.next = append(slices.Clone(a.stored), name)
}

// confirm is called once names are stored, and reports whether that brings a new one into effect.
func (a *additions) confirm(names []string) bool {
	grows := len(names) > len(a.stored)
	if grows {
		a.stored = names
	}
	if len(a.stored) == len(a.next) {
		a.isAdding = false
	}
	return grows
}
