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

// ErrNoOperator is returned for a first configuration with an owner that has no
// operator and could never change anything.
var ErrNoOperator = eris.New("owner without an operator")

// AuthenticatedOperator returns the authenticated operator of the request.
func AuthenticatedOperator(ctx *fasthttp.RequestCtx) inventory.OperatorID {
	return inventory.OperatorID(ctx.Request.Header.Peek(operation.HeaderOperator))
}

// publish appends a change and responds with the result of applying it.
func (s *Server) publish(ctx *fasthttp.RequestCtx) {
	p, ok := readPublication(ctx)
	if !ok {
		return
	}
	by := AuthenticatedOperator(ctx)
	if err := s.validateChange(by, p.Change); err != nil {
		status := fasthttp.StatusConflict
		if errors.Is(err, configuration.ErrNotAuthorized) {
			status = fasthttp.StatusForbidden
		}
		WriteError(ctx, status, err.Error())
		return
	}
	s.appendAndRespond(ctx, configuration.KindChange, p, by)
}

// propose appends one owner's approval of a change that other owners must approve
// too.
func (s *Server) propose(ctx *fasthttp.RequestCtx) {
	p, ok := readPublication(ctx)
	if !ok {
		return
	}
	s.appendAndRespond(ctx, configuration.KindProposal, p, AuthenticatedOperator(ctx))
}

// proposals responds with the changes that wait for approval.
func (s *Server) proposals(ctx *fasthttp.RequestCtx) {
	pending := s.cfg.State.Latest().Proposals
	if pending == nil {
		pending = []configuration.Proposal{}
	}
	WriteJSON(ctx, fasthttp.StatusOK, pending)
}

func readPublication(ctx *fasthttp.RequestCtx) (operation.Publication, bool) {
	var p operation.Publication
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil || p.ID == "" {
		WriteError(ctx, fasthttp.StatusBadRequest, "want {\"ID\":...,\"Change\":{...}}")
		return p, false
	}
	return p, true
}

// validateChange returns the reason for which the state machine would reject the
// change if it came next. The state machine decides; this check keeps changes that
// cannot be accepted out of the log.
func (s *Server) validateChange(by inventory.OperatorID, c configuration.Change) error {
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
		return checkOwnersHaveOperators(next)
	}
	return nil
}

func checkOwnersHaveOperators(cfg configuration.Configuration) error {
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

func (s *Server) appendAndRespond(ctx *fasthttp.RequestCtx, kind journal.Kind, p operation.Publication, by inventory.OperatorID) {
	r, err := journal.NewRecord(p.ID, kind, time.Now(), string(by), p.Change)
	if err != nil {
		WriteError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	c, cancel := context.WithTimeout(context.Background(), resultTimeout)
	defer cancel()
	if err := s.cfg.Records.Append(c, journal.StreamFleet, r); err != nil {
		respondAppendFailed(ctx, err)
		return
	}
	s.respondWithResult(c, ctx, p.ID)
}
