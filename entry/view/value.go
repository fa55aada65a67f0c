// Package view publishes the latest state of one task to the tasks that read it.
package view

import "sync"

// Value holds the latest published value. A publication replaces it atomically, so
// that readers never see a mixture of two values.
type Value[T any] struct {
	mu    sync.RWMutex
	value T
	// changed is closed and replaced on each publication.
	changed chan struct{}
}

// NewValue returns a Value that holds the value.
func NewValue[T any](value T) *Value[T] {
	return &Value[T]{value: value, changed: make(chan struct{})}
}

// Publish replaces the value and wakes its watchers. The caller must not modify the
// value afterwards.
func (b *Value[T]) Publish(value T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.value = value
	close(b.changed)
	b.changed = make(chan struct{})
}

// Latest returns the latest value.
func (b *Value[T]) Latest() T {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.value
}

// Watch returns the latest value and a channel that is closed on the next publication.
func (b *Value[T]) Watch() (T, <-chan struct{}) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.value, b.changed
}
