package placement

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Bounds of gathering cancellations.
const (
	// cancelQueue is how many cancellations wait; a further one is refused.
	cancelQueue = 4096
	// gatherTime is how long the first of a group waits for others.
	gatherTime = 50 * time.Millisecond
	// gatherJobs is how many jobs one record names, but for one long list.
	gatherJobs = 1000
)

// errCancelsFull means that a cancellation was not recorded.
var errCancelsFull = eris.New("too many cancellations wait; nothing was cancelled")

// errCancelRejected means that the fold rejected the cancellation.
var errCancelRejected = eris.New("cancellation rejected; nothing was cancelled")

// cancellation is one operator's request.
type cancellation struct {
	by inventory.OperatorID
	// owner is whom the operator publishes for; empty stands for every owner.
	owner inventory.OwnerID
	jobs  []inventory.JobID
	// done takes the one answer.
	done chan error
}

// canceller gathers cancellations, so that a flood becomes few records.
type canceller struct {
	cfg   Config
	board *Board
	in    chan cancellation
}

func newCanceller(cfg Config, board *Board) *canceller {
	return &canceller{cfg: cfg, board: board, in: make(chan cancellation, cancelQueue)}
}

// Name returns the task's name.
func (c *canceller) Name() string {
	return "cancellations"
}

// Run gathers and records until the context ends.
func (c *canceller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.in:
			group := c.gather(ctx, first)
			for _, owned := range byOwner(group) {
				err := c.record(ctx, owned, time.Now())
				for _, one := range owned {
					one.done <- err
				}
			}
		}
	}
}

// cancel hands a cancellation over and waits until its record was folded.
func (c *canceller) cancel(ctx context.Context, one cancellation) error {
	one.done = make(chan error, 1)
	select {
	case c.in <- one:
	default:
		return errCancelsFull
	}
	select {
	case err := <-one.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gather returns the first cancellation and those that come soon after it.
func (c *canceller) gather(ctx context.Context, first cancellation) []cancellation {
	group, jobs := []cancellation{first}, len(first.jobs)
	t := time.NewTimer(gatherTime)
	defer t.Stop()
	for jobs < gatherJobs {
		select {
		case next := <-c.in:
			group = append(group, next)
			jobs += len(next.jobs)
		case <-t.C:
			return group
		case <-ctx.Done():
			return group
		}
	}
	return group
}

// byOwner parts a group by owner, in the order in which the owners first come.
func byOwner(group []cancellation) [][]cancellation {
	var owners []inventory.OwnerID
	parts := make(map[inventory.OwnerID][]cancellation)
	for _, one := range group {
		if _, ok := parts[one.owner]; !ok {
			owners = append(owners, one.owner)
		}
		parts[one.owner] = append(parts[one.owner], one)
	}
	out := make([][]cancellation, len(owners))
	for i, w := range owners {
		out[i] = parts[w]
	}
	return out
}

// record adds one record for cancellations of one owner.
func (c *canceller) record(ctx context.Context, group []cancellation, now time.Time) error {
	ctx, stop := context.WithTimeout(ctx, answerTime)
	defer stop()
	body := placement.Cancel{Owner: group[0].owner}
	for _, one := range group {
		body.Jobs = append(body.Jobs, one.jobs...)
		if !slices.Contains(body.Operators, one.by) {
			body.Operators = append(body.Operators, one.by)
		}
	}
	r, err := journal.NewRecord(journal.RecordID(uuid.NewString()), placement.KindCancel, now, string(c.cfg.Name), body)
	if err != nil {
		return err
	}
	v, err := c.board.Record(ctx, c.cfg.Records, r)
	if err == nil && v.Outcome != journal.Accepted {
		return eris.Wrap(errCancelRejected, v.Reason)
	}
	return err
}
