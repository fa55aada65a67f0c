package metric

import "sync"

const (
	// maxBoundValues is how many values of a label have metrics of their own.
	maxBoundValues = 100
	// otherValue stands for all further values.
	otherValue = "other"
)

// boundValues are the first values of labels.
type boundValues struct {
	mu      sync.Mutex
	byLabel map[string]map[string]bool
}

// BoundLabel returns a label with the value, or with "other" in its place once the registry has been given
// maxBoundValues other values of the label. It is for values that operators choose.
func (r *Registry) BoundLabel(name, value string) Label {
	b := &r.bound
	b.mu.Lock()
	defer b.mu.Unlock()
	values := b.byLabel[name]
	if values == nil {
		if b.byLabel == nil {
			b.byLabel = make(map[string]map[string]bool)
		}
		values = make(map[string]bool)
		b.byLabel[name] = values
	}
	if !values[value] && len(values) >= maxBoundValues {
		return Label{Name: name, Value: otherValue}
	}
	values[value] = true
	return Label{Name: name, Value: value}
}
