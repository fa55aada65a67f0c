package metric

import "sync"

// MaxNames is the usual bound of the names in one label.
const MaxNames = 100

// other is the value of a label for all names beyond the bound.
const other = "other"

// Names bounds the values of a label that come from a configuration, as each value makes further metrics. It is
// safe for concurrent use.
type Names struct {
	limit int

	mu sync.Mutex
	// known are the first names, at most limit; guarded by mu.
	known map[string]bool
}

// NewNames returns a bound of the number of names.
func NewNames(limit int) *Names {
	return &Names{limit: limit, known: make(map[string]bool)}
}

// Label returns the label with a name, or with "other" if the bound is reached without it.
func (n *Names) Label(label, name string) Label {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.known[name] {
		if len(n.known) >= n.limit {
			return Label{Name: label, Value: other}
		}
		n.known[name] = true
	}
	return Label{Name: label, Value: name}
}
