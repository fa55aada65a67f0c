package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host list that was requested before a worker stopped answering doesn't show that the worker
// ended: the worker may have joined after the move that the list shows. Its run goes on under its
// lease, and no other run of the task starts before the lease has lapsed.
func TestLateHostListDoesNotEndWorker(t *testing.T) {
	s, now := readyScheduler(t)
	requestedAt := testStart.Add(-100 * time.Millisecond)
	o := startOne(t, s, now, testJob(1))
	s.Started(now, o.Worker, o.Task, o.Run, accepted)
	now = now.Add(300 * time.Millisecond)
	s.Held(now, 0, o.Worker, 0, now, Answer{Outcome: Unknown}, Report{})
	w := s.workers.get(o.Worker.ID)
	require.NotNil(t, w)
	require.True(t, w.leaseUntil.After(now))
	now = now.Add(100 * time.Millisecond)
	s.HostsListed(now, requestedAt, []Host{{ID: w.Host, Pool: w.Pool, State: HostMoving}})
	require.NotNil(t, s.workers.get(o.Worker.ID), "the list was requested before the worker joined")
}
