package journal

// Window remembers the last identities that were added, up to a fixed number.
type Window[T comparable] struct {
	// ring holds the remembered identities in order of arrival.
	ring []T
	// size is the largest length of ring.
	size int
	// next is the place in ring that is overwritten next.
	next int
	seen map[T]struct{}
}

// NewWindow returns a window that remembers n identities.
func NewWindow[T comparable](n int) *Window[T] {
	return &Window[T]{size: n, seen: make(map[T]struct{})}
}

// Contains reports whether the identity is remembered.
func (w *Window[T]) Contains(id T) bool {
	_, ok := w.seen[id]
	return ok
}

// Add remembers the identity and forgets the oldest one when full.
func (w *Window[T]) Add(id T) {
	if w.Contains(id) {
		return
	}
	w.seen[id] = struct{}{}
	if len(w.ring) < w.size {
		w.ring = append(w.ring, id)
		return
	}
	delete(w.seen, w.ring[w.next])
	w.ring[w.next] = id
	w.next = (w.next + 1) % len(w.ring)
}

// Items returns the remembered identities, oldest first.
func (w *Window[T]) Items() []T {
	items := make([]T, 0, len(w.ring))
	items = append(items, w.ring[w.next:]...)
	return append(items, w.ring[:w.next]...)
}
