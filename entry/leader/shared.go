package leader

import (
	"context"
	"sync"
)

// sharedCall runs a function for concurrent callers, one run at a time. All callers that
// arrive during a run share the next one, so that each run begins after the calls it serves.
type sharedCall struct {
	fn func() error

	mu sync.Mutex
	// next is the run that has not begun yet, nil if no caller waits for one; isRunning is
	// set while a goroutine serves the runs. Both are guarded by mu.
	next      *sharedRun
	isRunning bool
}

// sharedRun is one run. done is closed after err is set.
type sharedRun struct {
	done chan struct{}
	err  error
}

func newSharedCall(fn func() error) *sharedCall {
	return &sharedCall{fn: fn}
}

// do returns the result of a run that begins after the call. It returns early if ctx ends;
// the run goes on.
func (c *sharedCall) do(ctx context.Context) error {
	r := c.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *sharedCall) join() *sharedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &sharedRun{done: make(chan struct{})}
	}
	if !c.isRunning {
		c.isRunning = true
		go c.serve()
	}
	return c.next
}

// serve runs the function until no caller waits.
func (c *sharedCall) serve() {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		c.isRunning = r != nil
		c.mu.Unlock()
		if r == nil {
			return
		}
		r.err = c.fn()
		close(r.done)
	}
}
