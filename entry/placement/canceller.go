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

// Limits of coalescing cancellations.
const (
	// cancelQueueSize is the capacity of the queue; a cancellation beyond it is refused.
	cancelQueueSize = 4096
	// coalesceDelay is how long the first cancellation of a group waits for others.
	coalesceDelay = 50 * time.Millisecond
	// maxCoalescedJobs is the number of jobs at which a group is complete. A record
	// names more only if the last cancellation added exceeds the limit.
	maxCoalescedJobs = 1000
)

// errCancelQueueFull means that the queue was full and the cancellation was not recorded.
var errCancelQueueFull = eris.New("too many cancellations wait; nothing was cancelled")

// errCancelRejected means that the cancellation was recorded but rejected when applied.
var errCancelRejected = eris.New("cancellation rejected; nothing was cancelled")

// cancellation is an operator's request to cancel jobs.
type cancellation struct {
	by inventory.OperatorID
	// owner is the owner whom the operator publishes for; empty stands for every owner.
	owner inventory.OwnerID
	jobs  []inventory.JobID
	// done receives the result once.
	done chan error
}

// canceller coalesces cancellations, so that a burst takes only a few records.
type canceller struct {
	cfg    Config
	stream *JobStream
	in     chan cancellation
}

func newCanceller(cfg Config, stream *JobStream) *canceller {
	return &canceller{cfg: cfg, stream: stream, in: make(chan cancellation, cancelQueueSize)}
}

// Name returns the task's name.
func (c *canceller) Name() string {
	return "cancellations"
}

// Run coalesces and records cancellations until the context ends.
func (c *canceller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.in:
			group := c.coalesce(ctx, first)
			for _, owned := range byOwner(group) {
				err := c.record(ctx, owned, time.Now())
				for _, one := range owned {
					one.done <- err
				}
			}
		}
	}
}

// cancel queues a cancellation and waits until its record has been applied.
func (c *canceller) cancel(ctx context.Context, one cancellation) error {
	one.done = make(chan error, 1)
	select {
	case c.in <- one:
	default:
		return errCancelQueueFull
	}
	select {
	case err := <-one.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// coalesce returns the first cancellation and those that arrive within coalesceDelay after it.
func (c *canceller) coalesce(ctx context.Context, first cancellation) []cancellation {
	group, jobs := []cancellation{first}, len(first.jobs)
	t := time.NewTimer(coalesceDelay)
	defer t.Stop()
	for jobs < maxCoalescedJobs {
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

// byOwner splits a group by owner, in the order in which the owners first occur.
func byOwner(group []cancellation) [][]cancellation {
	var owners []inventory.OwnerID
	groups := make(map[inventory.OwnerID][]cancellation)
	for _, one := range group {
		if _, ok := groups[one.owner]; !ok {
			owners = append(owners, one.owner)
		}
		groups[one.owner] = append(groups[one.owner], one)
	}
	out := make([][]cancellation, len(owners))
	for i, owner := range owners {
		out[i] = groups[owner]
	}
	return out
}

// record appends one record for the cancellations of one owner.
func (c *canceller) record(ctx context.Context, group []cancellation, now time.Time) error {
	ctx, stop := context.WithTimeout(ctx, resultTimeout)
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
	result, err := c.stream.Record(ctx, c.cfg.Records, r)
	if err == nil && result.Outcome != journal.Accepted {
		return eris.Wrap(errCancelRejected, result.Reason)
	}
	return err
}
