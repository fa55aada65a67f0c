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

// Times of renewing without the log.
const (
	// renewLook is the time between two looks at whether the log is away.
	renewLook = 2 * time.Second
	// logSilence is how long the log must be silent; longer than a read waits.
	logSilence = 15 * time.Second
	// rankPause is how much later each further host begins to renew.
	rankPause = 10 * time.Second
)

// renewer prolongs the leases of started jobs while the log is away and no duty
// can be held. It decides nothing, so it does no harm beside a holder, and a
// worker that has seen a newer epoch refuses it.
type renewer struct {
	cfg   Config
	board *Board
	// renewed is when this host last renewed the tasks of each worker.
	renewed map[inventory.WorkerID]time.Time
}

func newRenewer(cfg Config, board *Board) *renewer {
	return &renewer{cfg: cfg, board: board, renewed: make(map[inventory.WorkerID]time.Time)}
}

// Name returns the task's name.
func (r *renewer) Name() string {
	return "renewal of task leases without the log"
}

// Run renews until the context ends.
func (r *renewer) Run(ctx context.Context) error {
	t := time.NewTicker(renewLook)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.step(ctx, time.Now(), r.board.Progress().ReadAt)
		}
	}
}

// step renews what is due if the log last answered too long ago.
func (r *renewer) step(ctx context.Context, now, readAt time.Time) {
	rank := max(slices.Index(lease.Rank(DutyPlacement, r.cfg.EntryHosts()), r.cfg.Name), 0)
	if readAt.IsZero() || now.Sub(readAt) < logSilence+time.Duration(rank)*rankPause {
		clear(r.renewed)
		return
	}
	ctx, stop := context.WithTimeout(ctx, tickTime)
	defer stop()
	var busy []inventory.WorkerID
	err := r.board.Do(ctx, func(jobs *placement.Reducer, _ *placement.Scheduler) { busy = jobs.BusyWorkers() })
	if err != nil {
		return
	}
	var due []inventory.WorkerID
	for _, w := range busy {
		if now.Sub(r.renewed[w]) >= lastLook && len(due) < maxLooks {
			due = append(due, w)
		}
	}
	r.renew(ctx, due, r.board.Progress().Holdings[DutyPlacement].Epoch, now)
}

func (r *renewer) renew(ctx context.Context, due []inventory.WorkerID, epoch journal.Epoch, now time.Time) {
	failed := make([]error, len(due))
	each(ctx, len(due), func(i int) {
		_, failed[i] = r.cfg.Workers.RenewTasks(due[i], platform.TaskCommand{Epoch: epoch, Term: taskTerm})
	})
	for i, w := range due {
		if failed[i] != nil {
			r.cfg.Log.WithError(failed[i]).WithField("Worker", w).Warn("renewing the leases of a worker failed")
			continue
		}
		r.renewed[w] = now
	}
}
