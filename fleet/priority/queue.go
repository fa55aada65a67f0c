// Package priority implements a priority queue whose entries can be reordered and
// removed.
package priority

import "container/heap"

// Entry holds a value of a queue.
type Entry[T any] struct {
	Value T
	// index is the position in the heap, or -1 after removal.
	index int
}

// IsQueued reports whether the entry is in its queue.
func (e *Entry[T]) IsQueued() bool {
	return e != nil && e.index >= 0
}

// Queue is a priority queue on a binary heap. Adding and removing take logarithmic time.
type Queue[T any] struct {
	heap entryHeap[T]
}

// NewQueue returns an empty queue that is ordered by less.
func NewQueue[T any](less func(a, b T) bool) *Queue[T] {
	return &Queue[T]{heap: entryHeap[T]{less: less}}
}

// Len returns the number of values.
func (q *Queue[T]) Len() int {
	return len(q.heap.entries)
}

// Push adds a value and returns its entry.
func (q *Queue[T]) Push(v T) *Entry[T] {
	e := &Entry[T]{Value: v}
	q.PushEntry(e)
	return e
}

// PushEntry adds an entry, which must not be in a queue.
func (q *Queue[T]) PushEntry(e *Entry[T]) {
	heap.Push(&q.heap, e)
}

// Peek returns the first value without removing it.
func (q *Queue[T]) Peek() (T, bool) {
	if len(q.heap.entries) == 0 {
		var zero T
		return zero, false
	}
	return q.heap.entries[0].Value, true
}

// Pop removes and returns the first value.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.heap.entries) == 0 {
		var zero T
		return zero, false
	}
	return heap.Pop(&q.heap).(*Entry[T]).Value, true
}

// Fix restores the order after the value of an entry has changed. The entry must be in
// the queue.
func (q *Queue[T]) Fix(e *Entry[T]) {
	heap.Fix(&q.heap, e.index)
}

// Remove removes an entry. It does nothing if the entry is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.IsQueued() {
		heap.Remove(&q.heap, e.index)
	}
}

// entryHeap implements heap.Interface.
type entryHeap[T any] struct {
	entries []*Entry[T]
	less    func(a, b T) bool
}

func (h entryHeap[T]) Len() int           { return len(h.entries) }
func (h entryHeap[T]) Less(i, j int) bool { return h.less(h.entries[i].Value, h.entries[j].Value) }

func (h entryHeap[T]) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index, h.entries[j].index = i, j
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap[T]) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.index = -1
	return e
}
