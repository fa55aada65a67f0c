package leader

import (
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/entry/store"
)

// streamView is the part of a stream that the scheduler has been given, and how current it is.
type streamView struct {
	mu sync.Mutex
	// next is the offset of the first record not yet passed to the scheduler; it never falls.
	next int64
	// end is the highest end of the stream that was read.
	end int64
	// completeAt is a time before which every stored record has been passed to the scheduler;
	// it never falls.
	completeAt time.Time
	// pendingEnd is the stream's end as of pendingAt, from a page that did not reach it; 0 if
	// the view is past it.
	pendingEnd int64
	pendingAt  time.Time
}

// nextOffset returns the offset from which to read on.
func (v *streamView) nextOffset() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.next
}

// advance records that the scheduler was given all records before next.
func (v *streamView) advance(next int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next = max(v.next, next)
	if v.pendingEnd > 0 && v.next >= v.pendingEnd {
		v.completeUntil(v.pendingAt)
		v.pendingEnd = 0
	}
}

// completeUntil records that the view has been complete as of at. The caller holds mu.
func (v *streamView) completeUntil(at time.Time) {
	if at.After(v.completeAt) {
		v.completeAt = at
	}
}

// observe records a page whose records were all passed to the scheduler. The read was sent
// at sentAt and began at or before the view's next offset.
func (v *streamView) observe(p store.Page, sentAt time.Time) {
	v.advance(p.Next)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.end = max(v.end, p.End)
	switch {
	case p.ReachesEnd():
		v.completeUntil(sentAt.Add(p.Waited))
	case v.pendingEnd == 0 && p.End > v.next:
		v.pendingEnd, v.pendingAt = p.End, sentAt
	}
}

// age returns how long ago the view was last known to be complete.
func (v *streamView) age(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.completeAt)
}

// lag returns how much older the view is than at, or 0 if it is newer.
func (v *streamView) lag(at time.Time) time.Duration {
	return max(v.age(at), 0)
}

// behind returns how many records the stream held beyond the view when it was last read.
func (v *streamView) behind() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.end-v.next, 0)
}
