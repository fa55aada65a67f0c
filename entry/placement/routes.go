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

// Limits of the operators' paths.
const (
	// answerTime bounds how long a submission or cancellation waits for its verdict.
	answerTime = 10 * time.Second
	// askTime bounds a question.
	askTime = 3 * time.Second
	// maxListed bounds the jobs of one answer.
	maxListed = 1000
)

func (p *Placement) submit(ctx *fasthttp.RequestCtx) {
	var s operation.Submission
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil || s.ID == "" || len(s.Jobs) == 0 {
		operator.Refuse(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Jobs\":[...]}")
		return
	}
	owner, ok := p.publishesFor(ctx)
	if !ok {
		return
	}
	for _, j := range s.Jobs {
		if err := j.Validate(); err != nil {
			operator.Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		if owner != "" && j.Owner != owner {
			operator.Refuse(ctx, fasthttp.StatusForbidden, fmt.Sprintf("job %s belongs to %s", j.ID, j.Owner))
			return
		}
	}
	p.record(ctx, s.ID, placement.Submit{Owner: owner, Jobs: s.Jobs})
}

func (p *Placement) cancel(ctx *fasthttp.RequestCtx) {
	var c operation.Cancellation
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil || len(c.Jobs) == 0 {
		operator.Refuse(ctx, fasthttp.StatusBadRequest, "want {\"Jobs\":[...]}")
		return
	}
	owner, ok := p.publishesFor(ctx)
	if !ok {
		return
	}
	switch foreign, err := p.foreign(c.Jobs, owner); {
	case err != nil:
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, "the job stream is busy")
		return
	case foreign != "":
		operator.Refuse(ctx, fasthttp.StatusForbidden, fmt.Sprintf("job %s belongs to another owner", foreign))
		return
	}
	wait, stop := context.WithTimeout(context.Background(), answerTime)
	defer stop()
	err := p.canceller.cancel(wait, cancellation{by: operator.By(ctx), owner: owner, jobs: c.Jobs})
	switch {
	case err == nil:
		operator.Answer(ctx, fasthttp.StatusOK, operation.CancelResponse{Jobs: len(c.Jobs)})
	case errors.Is(err, errCancelRejected):
		operator.Refuse(ctx, fasthttp.StatusConflict, err.Error())
	case errors.Is(err, errCancelsFull) || errors.Is(err, platform.ErrNotAppended):
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	default:
		operator.Refuse(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	}
}

// foreign returns a job that is known and belongs to another owner, or none. An
// empty owner stands for every owner.
func (p *Placement) foreign(jobs []inventory.JobID, owner inventory.OwnerID) (inventory.JobID, error) {
	found := inventory.JobID("")
	c, stop := context.WithTimeout(context.Background(), askTime)
	defer stop()
	err := p.board.Do(c, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, id := range jobs {
			if j, ok := r.Job(id); ok && owner != "" && j.Owner != owner {
				found = id
			}
		}
	})
	return found, err
}

// publishesFor returns the owner whose jobs the operator may touch, or refuses.
// The record carries the owner, so that the fold rejects what is another's.
func (p *Placement) publishesFor(ctx *fasthttp.RequestCtx) (inventory.OwnerID, bool) {
	owner, err := p.cfg.Fleet.Latest().Configuration.PublishesFor(operator.By(ctx))
	if err != nil {
		operator.Refuse(ctx, fasthttp.StatusForbidden, err.Error())
		return "", false
	}
	return owner, true
}

// record adds a submission and answers with its verdict. The answer comes only
// after the record is in the log.
func (p *Placement) record(ctx *fasthttp.RequestCtx, id journal.RecordID, s placement.Submit) {
	r, err := journal.NewRecord(id, placement.KindSubmit, time.Now(), string(operator.By(ctx)), s)
	if err != nil {
		operator.Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	c, stop := context.WithTimeout(context.Background(), answerTime)
	defer stop()
	v, err := p.board.Record(c, p.cfg.Records, r)
	switch {
	case errors.Is(err, platform.ErrNotAppended):
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case err != nil:
		operator.Refuse(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	case v.Outcome == journal.Accepted || (v.Outcome == journal.Duplicate && p.hasAccepted(c, s.Jobs)):
		operator.Answer(ctx, fasthttp.StatusOK, v)
	default:
		operator.Answer(ctx, fasthttp.StatusConflict, v)
	}
}

// hasAccepted reports whether all jobs are known as they are.
func (p *Placement) hasAccepted(ctx context.Context, jobs []configuration.Job) bool {
	all := true
	err := p.board.Do(ctx, func(r *placement.Reducer, _ *placement.Scheduler) {
		for _, j := range jobs {
			all = all && r.HasIdentical(j)
		}
	})
	return err == nil && all
}

func (p *Placement) list(ctx *fasthttp.RequestCtx) {
	s := operation.JobSummary{DataCentre: p.cfg.DataCentre}
	team := inventory.TeamID(ctx.QueryArgs().Peek("Team"))
	c, stop := context.WithTimeout(context.Background(), askTime)
	defer stop()
	err := p.board.Do(c, func(r *placement.Reducer, _ *placement.Scheduler) { s.Jobs, s.Counts = r.Last(maxListed, team) })
	if err != nil {
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, "the job stream is busy")
		return
	}
	operator.Answer(ctx, fasthttp.StatusOK, s)
}

func (p *Placement) explain(ctx *fasthttp.RequestCtx) {
	id := inventory.JobID(ctx.QueryArgs().Peek("ID"))
	c, stop := context.WithTimeout(context.Background(), askTime)
	defer stop()
	var e placement.Explanation
	found := false
	err := p.board.Do(c, func(_ *placement.Reducer, s *placement.Scheduler) { e, found = s.Explain(id, time.Now()) })
	switch {
	case err != nil:
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, "the job stream is busy")
	case !found:
		operator.Refuse(ctx, fasthttp.StatusNotFound, "no such job in this data centre")
	default:
		operator.Answer(ctx, fasthttp.StatusOK, e)
	}
}
