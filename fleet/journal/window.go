package journal

// Window remembers the last IDs that were added, up to a fixed number.
type Window[T comparable] struct {
	// ring holds the remembered IDs. Once full, it is a ring buffer.
	ring []T
	// size is the capacity of ring.
	size int
	// next is the index in ring that is overwritten next.
	next int
	seen map[T]struct{}
}

// NewWindow returns a window that remembers n IDs.
func NewWindow[T comparable](n int) *Window[T] {
	return &Window[T]{size: n, seen: make(map[T]struct{})}
}

// Contains reports whether the window remembers the ID.
func (w *Window[T]) Contains(id T) bool {
	_, ok := w.seen[id]
	return ok
}

// Add adds an ID. A full window evicts its oldest one.
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

// Items returns the remembered IDs, oldest first.
func (w *Window[T]) Items() []T {
	items := make([]T, 0, len(w.ring))
	items = append(items, w.ring[w.next:]...)
	return append(items, w.ring[:w.next]...)
}
