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

// Limits of the operator routes.
const (
	queryTimeout  = 3 * time.Second
	resultTimeout = 10 * time.Second
	// maxRecords limits the records in one answer.
	maxRecords = 500
)

// BillResponse is the answer to GET /bill.
type BillResponse struct {
	DataCentre inventory.DataCentreID
	// Open is the current period up to the time of the answer.
	Open bill.Statement
	// Closed are the periods that have ended, oldest first.
	Closed []bill.Statement
	// Refusals are the latest refused reports, which are not billed. Refused is the
	// number of all refused reports.
	Refusals []bill.Refusal
	Refused  int64
}

func (u *Usage) bill(ctx *fasthttp.RequestCtx) {
	answer := BillResponse{DataCentre: u.cfg.DataCentre}
	c, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	err := u.stream.Do(c, func(s *state.Usage) {
		answer.Open = s.Bill.Statement(bill.MomentOf(time.Now()))
		answer.Closed = s.Bill.Statements()
		answer.Refusals, answer.Refused = s.Bill.Refusals()
	})
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, "the usage stream is busy")
		return
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

// RecordsResponse is the answer to GET /bill/records.
type RecordsResponse struct {
	First   journal.Offset
	End     journal.Offset
	Records []json.RawMessage
}

// records answers with the raw records of the log, as they are stored there.
func (u *Usage) records(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("From")), 10, 64)
	if err != nil || from < 0 {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, "From is not an offset")
		return
	}
	b, err := u.cfg.Source.Read(u.streamID, journal.Offset(from), maxRecords, 0)
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, RecordsResponse{First: b.First, End: b.End, Records: b.Records})
}

// CorrectionRequest is the body of POST /bill/corrections.
type CorrectionRequest struct {
	// ID identifies the correction; a repeat under the same ID has no effect.
	ID         journal.RecordID
	Correction bill.Correction
}

// correct records a correction. Only an operator of the owner who takes over the core
// time may do so.
func (u *Usage) correct(ctx *fasthttp.RequestCtx) {
	var body CorrectionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.ID == "" {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Correction\":{...}}")
		return
	}
	by := operator.AuthenticatedOperator(ctx)
	if owner := u.cfg.Fleet.Latest().Configuration.Operators[by].Owner; owner == "" || owner != body.Correction.To.Owner {
		operator.WriteError(ctx, fasthttp.StatusForbidden, "only the owner who takes the core time over records a correction")
		return
	}
	r, err := journal.NewRecord(body.ID, bill.KindCorrection, time.Now(), string(by), body.Correction)
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	u.appendAndAnswer(ctx, r)
}

func (u *Usage) appendAndAnswer(ctx *fasthttp.RequestCtx, r journal.Record) {
	c, stop := context.WithTimeout(context.Background(), resultTimeout)
	defer stop()
	result, err := u.stream.Record(c, u.cfg.Records, r)
	switch {
	case errors.Is(err, platform.ErrNotAppended):
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case err != nil:
		operator.WriteError(ctx, fasthttp.StatusGatewayTimeout, err.Error())
	case result.Outcome != journal.Accepted:
		operator.WriteJSON(ctx, fasthttp.StatusConflict, result)
	default:
		operator.WriteJSON(ctx, fasthttp.StatusOK, result)
	}
}
