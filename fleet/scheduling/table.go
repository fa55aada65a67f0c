package scheduling

import "iter"

// table is a map with a deterministic iteration order, which depends only on the calls
// made to it, so that the same events lead to the same decisions.
type table[K comparable, V any] struct {
	index map[K]int
	rows  []row[K, V]
}

type row[K comparable, V any] struct {
	key   K
	value V
}

func newTable[K comparable, V any]() *table[K, V] {
	return &table[K, V]{index: make(map[K]int)}
}

// get returns the value of a key, or the zero value if there is none.
func (t *table[K, V]) get(k K) V {
	if i, ok := t.index[k]; ok {
		return t.rows[i].value
	}
	var zero V
	return zero
}

func (t *table[K, V]) put(k K, v V) {
	if i, ok := t.index[k]; ok {
		t.rows[i].value = v
		return
	}
	t.index[k] = len(t.rows)
	t.rows = append(t.rows, row[K, V]{k, v})
}

func (t *table[K, V]) drop(k K) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.index[t.rows[i].key] = i
	t.rows[last] = row[K, V]{}
	t.rows = t.rows[:last]
	delete(t.index, k)
}

func (t *table[K, V]) len() int {
	return len(t.rows)
}

// all iterates over the rows. Dropping a row during the iteration makes it skip no other
// row: it goes backwards, and a drop moves only the last row.
func (t *table[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for i := len(t.rows) - 1; i >= 0; i-- {
			if i >= len(t.rows) {
				continue
			}
			if r := t.rows[i]; !yield(r.key, r.value) {
				return
			}
		}
	}
}
