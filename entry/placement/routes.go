package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// Limits of the operator routes.
const (
	// resultTimeout bounds how long a submission or cancellation waits for its result.
	resultTimeout = 10 * time.Second
	// queryTimeout bounds a query of the job stream's state.
	queryTimeout = 3 * time.Second
	// maxListedJobs limits the jobs in one answer.
	maxListedJobs = 1000
)

func (p *Placement) submit(ctx *fasthttp.RequestCtx) {
	var s operation.Submission
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil || s.ID == "" || len(s.Jobs) == 0 {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Jobs\":[...]}")
		return
	}
	owner, ok := p.publishingOwner(ctx)
	if !ok {
		return
	}
	for _, j := range s.Jobs {
		if err := j.Validate(); err != nil {
			operator.WriteError(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		if owner != "" && j.Owner != owner {
			operator.WriteError(ctx, fasthttp.StatusForbidden, fmt.Sprintf("job %s belongs to %s", j.ID, j.Owner))
			return
		}
	}
	p.record(ctx, s.ID, placement.Submit{Owner: owner, Jobs: s.Jobs})
}

func (p *Placement) cancel(ctx *fasthttp.RequestCtx) {
	var c operation.Cancellation
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil || len(c.Jobs) == 0 {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, "want {\"Jobs\":[...]}")
		return
	}
	owner, ok := p.publishingOwner(ctx)
	if !ok {
		return
	}
	switch foreign, err := p.foreignJob(c.Jobs, owner); {
	case err != nil:
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, "the job stream is busy")
		return
	case foreign != "":
		operator.WriteError(ctx, fasthttp.StatusForbidden, fmt.Sprintf("job %s belongs to another owner", foreign))
		return
	}
	wait, stop := context.WithTimeout(context.Background(), resultTimeout)
	defer stop()
	err := p.canceller.cancel(wait, cancellation{by: operator.AuthenticatedOperator(ctx), owner: owner, jobs: c.Jobs})
	switch {
	case err == nil:
		operator.WriteJSON(ctx, fasthttp.StatusOK, operation.CancelResponse{Jobs: len(c.Jobs)})
	case errors.Is(err, errCancelRejected):
		operator.WriteError(ctx, fasthttp.StatusConflict, err.Error())
	case errors.Is(err, errCancelQueueFull) || errors.Is(err, platform.ErrNotAppended):
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	default:
		operator.WriteError(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	}
}

// foreignJob returns a known job that belongs to another owner, or an empty ID if there
// is none. An empty owner stands for every owner.
func (p *Placement) foreignJob(jobs []inventory.JobID, owner inventory.OwnerID) (inventory.JobID, error) {
	found := inventory.JobID("")
	c, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	err := p.stream.Do(c, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, id := range jobs {
			if j, ok := r.Job(id); ok && owner != "" && j.Owner != owner {
				found = id
			}
		}
	})
	return found, err
}

// publishingOwner returns the owner whose jobs the operator may change, or refuses the
// request. The record carries the owner, so that jobs of other owners are also rejected
// when the record is applied.
func (p *Placement) publishingOwner(ctx *fasthttp.RequestCtx) (inventory.OwnerID, bool) {
	owner, err := p.cfg.Fleet.Latest().Configuration.PublishesFor(operator.AuthenticatedOperator(ctx))
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusForbidden, err.Error())
		return "", false
	}
	return owner, true
}

// record appends a submission and answers with its result. It answers only after the
// record is in the log and has been applied.
func (p *Placement) record(ctx *fasthttp.RequestCtx, id journal.RecordID, s placement.Submit) {
	r, err := journal.NewRecord(id, placement.KindSubmit, time.Now(), string(operator.AuthenticatedOperator(ctx)), s)
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	c, stop := context.WithTimeout(context.Background(), resultTimeout)
	defer stop()
	result, err := p.stream.Record(c, p.cfg.Records, r)
	switch {
	case errors.Is(err, platform.ErrNotAppended):
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case err != nil:
		operator.WriteError(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	case result.Outcome == journal.Accepted || (result.Outcome == journal.Duplicate && p.hasIdenticalJobs(c, s.Jobs)):
		operator.WriteJSON(ctx, fasthttp.StatusOK, result)
	default:
		operator.WriteJSON(ctx, fasthttp.StatusConflict, result)
	}
}

// hasIdenticalJobs reports whether all jobs are known with identical contents.
func (p *Placement) hasIdenticalJobs(ctx context.Context, jobs []configuration.Job) bool {
	all := true
	err := p.stream.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, j := range jobs {
			all = all && r.HasIdentical(j)
		}
	})
	return err == nil && all
}

func (p *Placement) list(ctx *fasthttp.RequestCtx) {
	s := operation.JobSummary{DataCentre: p.cfg.DataCentre}
	team := inventory.TeamID(ctx.QueryArgs().Peek("Team"))
	c, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	err := p.stream.Do(c, func(r *placement.Reducer, _ *placement.Scheduler) { s.Jobs, s.Counts = r.Last(maxListedJobs, team) })
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, "the job stream is busy")
		return
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, s)
}

func (p *Placement) explain(ctx *fasthttp.RequestCtx) {
	id := inventory.JobID(ctx.QueryArgs().Peek("ID"))
	c, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	var e placement.Explanation
	found := false
	err := p.stream.Do(c, func(_ *placement.Reducer, s *placement.Scheduler) { e, found = s.Explain(id, time.Now()) })
	switch {
	case err != nil:
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, "the job stream is busy")
	case !found:
		operator.WriteError(ctx, fasthttp.StatusNotFound, "no such job in this data centre")
	default:
		operator.WriteJSON(ctx, fasthttp.StatusOK, e)
	}
}
