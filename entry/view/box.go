// Package view passes the latest state from the task that owns it to tasks that
// only read it.
package view

import "sync"

// Box holds the latest value that its owner published. Readers get either the
// value before or the one after a publication, never a mixture.
type Box[T any] struct {
	mu    sync.RWMutex
	value T
	// changed is closed and replaced by each publication.
	changed chan struct{}
}

// NewBox returns a box that holds the value.
func NewBox[T any](value T) *Box[T] {
	return &Box[T]{value: value, changed: make(chan struct{})}
}

// Publish replaces the value. The value must not be changed afterwards.
func (b *Box[T]) Publish(value T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = value
	close(b.changed)
	b.changed = make(chan struct{})
}

// Latest returns the value.
func (b *Box[T]) Latest() T {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.value
}

// Watch returns the value and a channel that is closed by the next publication.
func (b *Box[T]) Watch() (T, <-chan struct{}) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.value, b.changed
}
