package leader

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller must not get the result of a run that began before its call: what was stored in
// between would be missing. Callers that wait together share one run.
func TestSharedCallBeginsAfterItsCallers(t *testing.T) {
	const callers = 20
	begun, release := make(chan int, callers), make(chan struct{})
	runs := 0
	failed := errors.New("second run")
	c := newSharedCall(func() error {
		runs++
		begun <- runs
		<-release
		if runs == 2 {
			return failed
		}
		return nil
	})
	first := make(chan error, 1)
	go func() { first <- c.do(context.Background()) }()
	require.Equal(t, 1, <-begun)
	var joined sync.WaitGroup
	results := make(chan error, callers)
	for range callers {
		r := c.join()
		joined.Go(func() { <-r.done; results <- r.err })
	}
	close(release)
	require.NoError(t, <-first)
	joined.Wait()
	require.Equal(t, 2, <-begun)
	require.Empty(t, begun, "the waiting callers share one run")
	for range callers {
		require.ErrorIs(t, <-results, failed)
	}
}

// A caller that gives up doesn't end the run for the others.
func TestSharedCallOutlivesItsCaller(t *testing.T) {
	release := make(chan struct{})
	c := newSharedCall(func() error { <-release; return nil })
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	require.ErrorIs(t, c.do(ctx), context.DeadlineExceeded)
	close(release)
	require.NoError(t, c.do(context.Background()))
}
