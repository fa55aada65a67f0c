package store

import (
	"context"
	"sync"
	"time"
)

const (
	// maxCoalescedRecords bounds the records of one gathered append, far below what a call of the
	// store may hold.
	maxCoalescedRecords = 500
	// coalesceWait is for how long appends are gathered behind one that has no answer: about
	// what a slow store takes for one.
	coalesceWait = 500 * time.Millisecond
)

// Coalescer appends what comes while an append to the same stream is out together, since
// a stream takes one append after the other. Conditional and fenced appends go on their
// own.
type Coalescer struct {
	Store

	mu sync.Mutex
	// open are the groups that take more records; guarded by mu.
	open map[Stream]*group
	// inFlight is closed when the stream's last append has ended; guarded by mu.
	inFlight map[Stream]chan struct{}
}

// group is an append of several callers.
type group struct {
	records []Record
	// latest is the latest deadline of its callers, the zero time if one has none.
	latest     time.Time
	noDeadline bool
	// done is closed once answer is set.
	done   chan struct{}
	answer attempt
}

// NewCoalescer returns a store that gathers the appends of another one.
func NewCoalescer(s Store) *Coalescer {
	return &Coalescer{Store: s, open: make(map[Stream]*group), inFlight: make(map[Stream]chan struct{})}
}

// Append adds records.
func (c *Coalescer) Append(ctx context.Context, a Append) (Appended, error) {
	if a.At != nil || a.Fence != nil || len(a.Records) > maxCoalescedRecords {
		return c.Store.Append(ctx, a)
	}
	gr, first := c.join(ctx, a)
	select {
	case <-gr.done:
		out := gr.answer.out
		out.Offset += int64(first)
		return out, gr.answer.err
	case <-ctx.Done():
		return Appended{}, ErrUnknown
	}
}

// join adds records to the stream's open group and returns the place of the first. The
// caller that opens a group has it sent.
func (c *Coalescer) join(ctx context.Context, a Append) (*group, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gr := c.open[a.Stream]
	if gr != nil && len(gr.records)+len(a.Records) > maxCoalescedRecords {
		gr = nil
	}
	if gr == nil {
		gr = &group{done: make(chan struct{})}
		c.open[a.Stream] = gr
		go c.send(a.Stream, gr, c.inFlight[a.Stream])
	}
	deadline, ok := ctx.Deadline()
	gr.noDeadline = gr.noDeadline || !ok
	if deadline.After(gr.latest) {
		gr.latest = deadline
	}
	gr.records = append(gr.records, a.Records...)
	return gr, len(gr.records) - len(a.Records)
}

// send appends a group once the stream's last append has ended, or has had no answer for
// a while.
func (c *Coalescer) send(stream Stream, gr *group, previous chan struct{}) {
	if previous != nil {
		late := time.NewTimer(coalesceWait)
		select {
		case <-previous:
		case <-late.C:
		}
		late.Stop()
	}
	ended := make(chan struct{})
	c.mu.Lock()
	if c.open[stream] == gr {
		delete(c.open, stream)
	}
	c.inFlight[stream] = ended
	ctx, cancel := context.Background(), func() {}
	if !gr.noDeadline {
		ctx, cancel = context.WithDeadline(ctx, gr.latest)
	}
	records := gr.records
	c.mu.Unlock()
	gr.answer.out, gr.answer.err = c.Store.Append(ctx, Append{Stream: stream, Records: records})
	cancel()
	close(ended)
	close(gr.done)
}
