// Package priority is a queue in the order of a comparison, with entries that
// can be moved and removed.
package priority

import "container/heap"

// Entry is a value in a queue.
type Entry[T any] struct {
	Value T
	// index is the place in the queue, or -1 outside of it.
	index int
}

// IsQueued reports whether the entry is in its queue.
func (e *Entry[T]) IsQueued() bool {
	return e != nil && e.index >= 0
}

// Queue is a heap: adding and removing cost the logarithm of its length.
type Queue[T any] struct {
	h entries[T]
}

// NewQueue returns an empty queue in the order of less.
func NewQueue[T any](less func(a, b T) bool) *Queue[T] {
	return &Queue[T]{h: entries[T]{less: less}}
}

// Len returns the number of values.
func (q *Queue[T]) Len() int {
	return len(q.h.list)
}

// Push adds a value.
func (q *Queue[T]) Push(v T) *Entry[T] {
	e := &Entry[T]{Value: v}
	q.Add(e)
	return e
}

// Add puts an entry that is in no queue into this one.
func (q *Queue[T]) Add(e *Entry[T]) {
	heap.Push(&q.h, e)
}

// First returns the first value without removing it.
func (q *Queue[T]) First() (T, bool) {
	if len(q.h.list) == 0 {
		var zero T
		return zero, false
	}
	return q.h.list[0].Value, true
}

// Pop removes and returns the first value.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.h.list) == 0 {
		var zero T
		return zero, false
	}
	return heap.Pop(&q.h).(*Entry[T]).Value, true
}

// Fix moves an entry to its place after its value has changed.
func (q *Queue[T]) Fix(e *Entry[T]) {
	heap.Fix(&q.h, e.index)
}

// Remove takes an entry out; it does nothing for one that is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.IsQueued() {
		heap.Remove(&q.h, e.index)
	}
}

// entries implements heap.Interface.
type entries[T any] struct {
	list []*Entry[T]
	less func(a, b T) bool
}

func (h entries[T]) Len() int           { return len(h.list) }
func (h entries[T]) Less(i, j int) bool { return h.less(h.list[i].Value, h.list[j].Value) }

func (h entries[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

func (h *entries[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(h.list)
	h.list = append(h.list, e)
}

func (h *entries[T]) Pop() any {
	last := len(h.list) - 1
	e := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	e.index = -1
	return e
}
