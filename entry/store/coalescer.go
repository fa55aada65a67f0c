package store

import (
	"context"
	"sync"
	"time"
)

const (
	// maxCoalescedRecords and maxCoalescedBytes bound the records of a coalesced append, below
	// the limit of a call to the store, CallBytes.
	maxCoalescedRecords = 500
	maxCoalescedBytes   = 1 << 20
	// coalesceWait bounds the wait for the append in flight. It is about the time that a
	// slow store takes for one append.
	coalesceWait = 500 * time.Millisecond
)

// Coalescer combines the appends that arrive while another one to the same stream is in
// flight, because a stream processes appends one at a time. Conditional and fenced appends
// are passed on unchanged.
type Coalescer struct {
	Store

	mu sync.Mutex
	// openGroups holds the groups that still accept records; guarded by mu.
	openGroups map[Stream]*appendGroup
	// inFlight holds for each stream a channel that is closed when its latest append has
	// ended; guarded by mu.
	inFlight map[Stream]chan struct{}
}

// appendGroup is a coalesced append of several callers.
type appendGroup struct {
	records []Record
	// size is the sum of the records' sizes, in bytes.
	size int
	// latestDeadline is the latest deadline of its callers. It does not apply if
	// noDeadline is set, because a caller has none.
	latestDeadline time.Time
	noDeadline     bool
	// done is closed after answer is set.
	done   chan struct{}
	answer attempt
}

// NewCoalescer returns a store that coalesces appends to s.
func NewCoalescer(s Store) *Coalescer {
	return &Coalescer{Store: s, openGroups: make(map[Stream]*appendGroup), inFlight: make(map[Stream]chan struct{})}
}

// Append adds records to a stream. If ctx ends first, the records may still be stored.
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

// join adds the records to the stream's open group and returns the index of the first. It
// opens a new group, and starts sending it, if there is none or the records don't fit.
func (c *Coalescer) join(ctx context.Context, a Append) (*appendGroup, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, r := range a.Records {
		size += r.Size()
	}
	gr := c.openGroups[a.Stream]
	if gr != nil && (len(gr.records)+len(a.Records) > maxCoalescedRecords || gr.size+size > maxCoalescedBytes) {
		gr = nil
	}
	if gr == nil {
		gr = &appendGroup{done: make(chan struct{})}
		c.openGroups[a.Stream] = gr
		go c.send(a.Stream, gr, c.inFlight[a.Stream])
	}
	deadline, ok := ctx.Deadline()
	gr.noDeadline = gr.noDeadline || !ok
	if deadline.After(gr.latestDeadline) {
		gr.latestDeadline = deadline
	}
	gr.records = append(gr.records, a.Records...)
	gr.size += size
	return gr, len(gr.records) - len(a.Records)
}

// send appends a group after the stream's previous append has ended, or at the latest after
// coalesceWait.
func (c *Coalescer) send(stream Stream, gr *appendGroup, previous chan struct{}) {
	if previous != nil {
		timer := time.NewTimer(coalesceWait)
		select {
		case <-previous:
		case <-timer.C:
		}
		timer.Stop()
	}
	ended := make(chan struct{})
	c.mu.Lock()
	if c.openGroups[stream] == gr {
		delete(c.openGroups, stream)
	}
	c.inFlight[stream] = ended
	ctx, cancel := context.Background(), func() {}
	if !gr.noDeadline {
		ctx, cancel = context.WithDeadline(ctx, gr.latestDeadline)
	}
	records := gr.records
	c.mu.Unlock()
	gr.answer.out, gr.answer.err = c.Store.Append(ctx, Append{Stream: stream, Records: records})
	cancel()
	close(ended)
	close(gr.done)
}
