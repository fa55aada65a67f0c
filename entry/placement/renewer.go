package placement

import (
	"context"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Times of renewing leases while the log is unreachable.
const (
	// logCheckInterval is the time between two checks whether the log is unreachable.
	logCheckInterval = 2 * time.Second
	// logTimeout is how long the log must be unresponsive before the first host renews.
	// It is longer than a read of the log may wait.
	logTimeout = 15 * time.Second
	// rankDelay is added to logTimeout once for each host ranked before this one.
	rankDelay = 10 * time.Second
)

// renewer renews the leases of started jobs while the log is unreachable and no duty can
// be held. It is safe to run beside a holder of the duty: it makes no decisions, and a
// worker that has seen a newer epoch refuses its renewals.
type renewer struct {
	cfg    Config
	stream *JobStream
	// renewed is when this entry host last renewed the task leases of each worker.
	renewed map[inventory.WorkerID]time.Time
}

func newRenewer(cfg Config, stream *JobStream) *renewer {
	return &renewer{cfg: cfg, stream: stream, renewed: make(map[inventory.WorkerID]time.Time)}
}

// Name returns the task's name.
func (r *renewer) Name() string {
	return "renewal of task leases without the log"
}

// Run renews leases until the context ends.
func (r *renewer) Run(ctx context.Context) error {
	t := time.NewTicker(logCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.step(ctx, time.Now(), r.stream.Progress().ReadAt)
		}
	}
}

// step renews the leases that are due if the last answer of the log is too old.
func (r *renewer) step(ctx context.Context, now, readAt time.Time) {
	rank := max(slices.Index(lease.Rank(DutyPlacement, r.cfg.EntryHosts()), r.cfg.Name), 0)
	if readAt.IsZero() || now.Sub(readAt) < logTimeout+time.Duration(rank)*rankDelay {
		clear(r.renewed)
		return
	}
	ctx, stop := context.WithTimeout(ctx, tickTimeout)
	defer stop()
	var busy []inventory.WorkerID
	err := r.stream.Do(ctx, func(jobs *placement.Reducer, _ *placement.Scheduler) { busy = jobs.BusyWorkers() })
	if err != nil {
		return
	}
	var due []inventory.WorkerID
	for _, w := range busy {
		if now.Sub(r.renewed[w]) >= maxPollInterval && len(due) < maxCalls {
			due = append(due, w)
		}
	}
	r.renew(ctx, due, r.stream.Progress().Holdings[DutyPlacement].Epoch, now)
}

func (r *renewer) renew(ctx context.Context, due []inventory.WorkerID, epoch journal.Epoch, now time.Time) {
	failed := make([]error, len(due))
	each(ctx, len(due), func(i int) {
		_, failed[i] = r.cfg.Workers.RenewTasks(due[i], platform.TaskCommand{Epoch: epoch, Term: taskLeaseTerm})
	})
	for i, w := range due {
		if failed[i] != nil {
			r.cfg.Log.WithError(failed[i]).WithField("Worker", w).Warn("renewing the leases of a worker failed")
			continue
		}
		r.renewed[w] = now
	}
}
