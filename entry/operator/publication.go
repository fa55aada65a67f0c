package operator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/identity"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
)

// ErrNoOperator is returned for a first configuration after which an owner
// could change nothing.
var ErrNoOperator = eris.New("owner without an operator")

// By returns the operator who asks, as it was proved.
func By(ctx *fasthttp.RequestCtx) inventory.OperatorID {
	return inventory.OperatorID(ctx.Request.Header.Peek(operation.HeaderOperator))
}

// publish appends a change and answers with the verdict of the fold.
func (s *Server) publish(ctx *fasthttp.RequestCtx) {
	p, ok := readPublication(ctx)
	if !ok {
		return
	}
	by := By(ctx)
	if err := s.precheck(by, p.Change); err != nil {
		status := fasthttp.StatusConflict
		if errors.Is(err, configuration.ErrNotAuthorized) {
			status = fasthttp.StatusForbidden
		}
		Refuse(ctx, status, err.Error())
		return
	}
	s.appendAndAnswer(ctx, configuration.KindChange, p, by)
}

// propose appends the agreement of one owner to a change that others must agree to.
func (s *Server) propose(ctx *fasthttp.RequestCtx) {
	p, ok := readPublication(ctx)
	if !ok {
		return
	}
	s.appendAndAnswer(ctx, configuration.KindProposal, p, By(ctx))
}

// proposals answers with the changes that wait for the agreement of others.
func (s *Server) proposals(ctx *fasthttp.RequestCtx) {
	waiting := s.cfg.State.Latest().Proposals
	if waiting == nil {
		waiting = []configuration.Proposal{}
	}
	Answer(ctx, fasthttp.StatusOK, waiting)
}

func readPublication(ctx *fasthttp.RequestCtx) (operation.Publication, bool) {
	var p operation.Publication
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil || p.ID == "" {
		Refuse(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Change\":{...}}")
		return p, false
	}
	return p, true
}

// precheck returns the reason for which the fold would reject the change if it
// came next. The fold decides; this spares the log what can't be accepted.
func (s *Server) precheck(by inventory.OperatorID, c configuration.Change) error {
	st := s.cfg.State.Latest()
	digest, err := c.ContentDigest()
	if err != nil {
		return err
	}
	cfg := st.Configuration
	if err := cfg.Authorize(by, c, cfg.Approvals(st.Proposals, digest)); err != nil {
		return err
	}
	next, err := cfg.Apply(c, cfg.Version+1)
	if err != nil {
		return err
	}
	if by == identity.Bootstrap {
		return everyOwnerHasOperator(next)
	}
	return nil
}

func everyOwnerHasOperator(cfg configuration.Configuration) error {
	for id := range cfg.Owners {
		found := false
		for _, p := range cfg.Operators {
			found = found || p.Owner == id
		}
		if !found {
			return eris.Wrapf(ErrNoOperator, "the first configuration names no operator of Owner/%s", id)
		}
	}
	return nil
}

func (s *Server) appendAndAnswer(ctx *fasthttp.RequestCtx, kind journal.Kind, p operation.Publication, by inventory.OperatorID) {
	r, err := journal.NewRecord(p.ID, kind, time.Now(), string(by), p.Change)
	if err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	c, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	if err := s.cfg.Records.Append(c, journal.StreamFleet, r); err != nil {
		refuseAppend(ctx, err)
		return
	}
	s.answerVerdict(c, ctx, p.ID)
}
