package usage

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// Limits of the operators' paths.
const (
	askTime    = 3 * time.Second
	answerTime = 10 * time.Second
	// maxRecords bounds the records of one answer.
	maxRecords = 500
)

// Answer is the answer to GET /bill.
type Answer struct {
	DataCentre inventory.DataCentreID
	// Open is the period that lasts, up to the moment of the answer.
	Open bill.Statement
	// Closed are the periods that have ended, oldest first.
	Closed []bill.Statement
	// Refusals are the last reports that were not counted, Refused counts all.
	Refusals []bill.Refusal
	Refused  int64
}

func (u *Usage) bill(ctx *fasthttp.RequestCtx) {
	a := Answer{DataCentre: u.cfg.DataCentre}
	c, stop := context.WithTimeout(context.Background(), askTime)
	defer stop()
	err := u.book.Do(c, func(s *state.Usage) {
		a.Open = s.Bill.Statement(bill.MomentOf(time.Now()))
		a.Closed = s.Bill.Statements()
		a.Refusals, a.Refused = s.Bill.Refusals()
	})
	if err != nil {
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, "the usage stream is busy")
		return
	}
	operator.Answer(ctx, fasthttp.StatusOK, a)
}

// Records is the answer to GET /bill/records.
type Records struct {
	First   journal.Offset
	End     journal.Offset
	Records []json.RawMessage
}

// records answers with raw records of the log, as they are kept there.
func (u *Usage) records(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("From")), 10, 64)
	if err != nil || from < 0 {
		operator.Refuse(ctx, fasthttp.StatusBadRequest, "From is not an offset")
		return
	}
	b, err := u.cfg.Source.Read(u.stream, journal.Offset(from), maxRecords, 0)
	if err != nil {
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	operator.Answer(ctx, fasthttp.StatusOK, Records{First: b.First, End: b.End, Records: b.Records})
}

// Correction is the body of POST /bill/corrections.
type Correction struct {
	// ID is unique to the correction; a repeat under the same ID has no effect.
	ID         journal.RecordID
	Correction bill.Correction
}

// correct records a correction. Only an operator of the owner who takes the core
// time over may do so.
func (u *Usage) correct(ctx *fasthttp.RequestCtx) {
	var body Correction
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.ID == "" {
		operator.Refuse(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Correction\":{...}}")
		return
	}
	by := operator.By(ctx)
	if owner := u.cfg.Fleet.Latest().Configuration.Operators[by].Owner; owner == "" || owner != body.Correction.To.Owner {
		operator.Refuse(ctx, fasthttp.StatusForbidden, "only the owner who takes the core time over records a correction")
		return
	}
	r, err := journal.NewRecord(body.ID, bill.KindCorrection, time.Now(), string(by), body.Correction)
	if err != nil {
		operator.Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	u.appendAndAnswer(ctx, r)
}

func (u *Usage) appendAndAnswer(ctx *fasthttp.RequestCtx, r journal.Record) {
	c, stop := context.WithTimeout(context.Background(), answerTime)
	defer stop()
	v, err := u.book.Record(c, u.cfg.Records, r)
	switch {
	case errors.Is(err, platform.ErrNotAppended):
		operator.Refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case err != nil:
		operator.Refuse(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	case v.Outcome != journal.Accepted:
		operator.Answer(ctx, fasthttp.StatusConflict, v)
	default:
		operator.Answer(ctx, fasthttp.StatusOK, v)
	}
}
