package store

import (
	"context"
	"sync"
	"time"
)

const (
	// gatherAtMost bounds the records of one gathered append, far below what a call of the
	// store may hold.
	gatherAtMost = 500
	// gatherWait is for how long appends are gathered behind one that has no answer: about
	// what a slow store takes for one.
	gatherWait = 500 * time.Millisecond
)

// Gatherer appends what comes while an append to the same stream is out together, since
// a stream takes one append after the other. Conditional and fenced appends go on their
// own.
type Gatherer struct {
	Store

	mu sync.Mutex
	// open are the groups that take more records; guarded by mu.
	open map[Stream]*group
	// out is closed when the stream's last append has ended; guarded by mu.
	out map[Stream]chan struct{}
}

// group is an append of several callers.
type group struct {
	records []Record
	// latest is the latest deadline of its callers, the zero time if one has none.
	latest  time.Time
	endless bool
	// done is closed once answer is set.
	done   chan struct{}
	answer attempt
}

// NewGatherer returns a store that gathers the appends of another one.
func NewGatherer(s Store) *Gatherer {
	return &Gatherer{Store: s, open: make(map[Stream]*group), out: make(map[Stream]chan struct{})}
}

// Append adds records.
func (g *Gatherer) Append(ctx context.Context, a Append) (Appended, error) {
	if a.At != nil || a.Fence != nil || len(a.Records) > gatherAtMost {
		return g.Store.Append(ctx, a)
	}
	gr, first := g.join(ctx, a)
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
func (g *Gatherer) join(ctx context.Context, a Append) (*group, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gr := g.open[a.Stream]
	if gr != nil && len(gr.records)+len(a.Records) > gatherAtMost {
		gr = nil
	}
	if gr == nil {
		gr = &group{done: make(chan struct{})}
		g.open[a.Stream] = gr
		go g.send(a.Stream, gr, g.out[a.Stream])
	}
	deadline, ok := ctx.Deadline()
	gr.endless = gr.endless || !ok
	if deadline.After(gr.latest) {
		gr.latest = deadline
	}
	gr.records = append(gr.records, a.Records...)
	return gr, len(gr.records) - len(a.Records)
}

// send appends a group once the stream's last append has ended, or has had no answer for
// a while.
func (g *Gatherer) send(stream Stream, gr *group, former chan struct{}) {
	if former != nil {
		late := time.NewTimer(gatherWait)
		select {
		case <-former:
		case <-late.C:
		}
		late.Stop()
	}
	ended := make(chan struct{})
	g.mu.Lock()
	if g.open[stream] == gr {
		delete(g.open, stream)
	}
	g.out[stream] = ended
	ctx, cancel := context.Background(), func() {}
	if !gr.endless {
		ctx, cancel = context.WithDeadline(ctx, gr.latest)
	}
	records := gr.records
	g.mu.Unlock()
	gr.answer.out, gr.answer.err = g.Store.Append(ctx, Append{Stream: stream, Records: records})
	cancel()
	close(ended)
	close(gr.done)
}
