package bill

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Bounds of the state.
const (
	// keptStatements is how many closed periods are remembered.
	keptStatements = 24
	// keptRefusals is how many refused reports are shown.
	keptRefusals = 64
)

// Refusal is a report that was not counted.
type Refusal struct {
	Report
	Reason string
}

// Reducer folds the usage stream of a data centre.
type Reducer struct {
	hosts       map[inventory.HostID]*host
	corrections []Correction
	statements  []Statement
	// began is the first moment of the first interval, closed the end of the last
	// closed period; 0 before there is one.
	began, closed Moment
	chain         Link
	// links are the last recentLinks links, oldest first.
	links []Link
	// refusals are the last refused reports and refused counts all.
	refusals []Refusal
	refused  int64
}

// NewReducer returns a reducer without hosts.
func NewReducer() *Reducer {
	return &Reducer{hosts: make(map[inventory.HostID]*host), chain: Link{Offset: -1}}
}

// Kinds returns the kinds of records that the reducer folds.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindTransfer, KindReport, KindCorrection, KindSeal}
}

// Reduce applies one record and links it to the chain.
func (r *Reducer) Reduce(e journal.Entry) error {
	link, err := r.chain.next(e)
	if err != nil {
		return err
	}
	if err := r.apply(e); err != nil {
		return err
	}
	r.chain = link
	r.links = append(r.links, link)
	if len(r.links) > recentLinks {
		r.links = r.links[1:]
	}
	return nil
}

func (r *Reducer) apply(e journal.Entry) error {
	if e.Record.Kind == KindCorrection {
		return reduce(e, r.correct)
	}
	if e.Record.Duty == "" {
		return eris.Wrapf(ErrFenced, "%s", e.Record.Kind)
	}
	switch e.Record.Kind {
	case KindTransfer:
		return reduce(e, r.transfer)
	case KindReport:
		return reduce(e, r.report)
	}
	return reduce(e, r.seal)
}

func reduce[T any](e journal.Entry, apply func(T) error) error {
	body, err := journal.DecodeBody[T](e.Record)
	if err != nil {
		return err
	}
	return apply(body)
}

func (r *Reducer) host(id inventory.HostID) *host {
	h, ok := r.hosts[id]
	if !ok {
		h = newHost()
		h.Settled, h.Closed = r.closed, r.closed
		r.hosts[id] = h
	}
	return h
}

func (r *Reducer) transfer(t Transfers) error {
	for _, one := range t.Transfers {
		if r.began == 0 || one.At < r.began {
			r.began = one.At
		}
		r.host(one.Host).transfer(one)
	}
	return nil
}

func (r *Reducer) report(b Reports) error {
	for _, one := range b.Reports {
		h := r.host(one.Worker.Host())
		if why := h.insert(point{Boot: one.Boot, At: one.At, Used: one.Used}); why != "" {
			r.refuse(one, why)
			continue
		}
		h.settle()
	}
	return nil
}

func (r *Reducer) refuse(one Report, why string) {
	r.refused++
	r.refusals = append(r.refusals, Refusal{Report: one, Reason: why})
	if len(r.refusals) > keptRefusals {
		r.refusals = r.refusals[1:]
	}
}

func (r *Reducer) correct(c Correction) error {
	for _, a := range []Account{c.From, c.To} {
		if a.Owner == "" || a.Pool == "" || (a.Use != Used && a.Use != Idle) {
			return eris.Wrapf(ErrCorrection, "account %+v", a)
		}
	}
	if c.Amount <= 0 || c.Reason == "" {
		return eris.Wrap(ErrCorrection, "want an amount above 0 and a reason")
	}
	r.corrections = append(r.corrections, c)
	return nil
}

// seal checks the chain against what its writer saw, and closes the period.
func (r *Reducer) seal(s Seal) error {
	i := slices.IndexFunc(r.links, func(l Link) bool { return l.Offset == s.Offset })
	if i < 0 || r.links[i].Digest != s.Chain {
		return eris.Wrapf(ErrTampered, "offset %d was sealed with %s", s.Offset, s.Chain)
	}
	if s.Close == 0 {
		return nil
	}
	return r.close(s.Close)
}

func (r *Reducer) close(to Moment) error {
	if to <= r.Opened() {
		return eris.Wrapf(ErrPeriod, "the period begins at %s only", r.Opened().Time())
	}
	for id, h := range r.hosts {
		if h.Settled > to {
			return eris.Wrapf(ErrPeriod, "host %s is settled up to %s", id, h.Settled.Time())
		}
	}
	st := Statement{From: r.Opened(), To: to, Chain: r.chain}
	sum := make(shares)
	for _, h := range r.hosts {
		for k, v := range h.close(to) {
			sum.add(k, v)
		}
	}
	st.Lines = r.corrected(sum)
	r.corrections, r.closed = nil, to
	r.statements = append(r.statements, st)
	if len(r.statements) > keptStatements {
		r.statements = r.statements[1:]
	}
	return nil
}

func (r *Reducer) corrected(sum shares) []Line {
	for _, c := range r.corrections {
		sum.correct(c)
	}
	return sum.lines()
}

// Statement returns the bill of the open period up to a moment, which must not
// be before what is settled.
func (r *Reducer) Statement(to Moment) Statement {
	to = max(to, r.settled())
	sum := make(shares)
	for _, h := range r.hosts {
		for k, v := range h.Shares {
			sum.add(k, v)
		}
		h.addUp(to, sum)
	}
	return Statement{From: r.Opened(), To: to, Lines: r.corrected(sum), Chain: r.chain}
}

// settled is the latest moment up to which a host is settled.
func (r *Reducer) settled() Moment {
	m := r.closed
	for _, h := range r.hosts {
		m = max(m, h.Settled)
	}
	return m
}

// Reported returns the moment up to which every host with reports has reported,
// and 0 if none has.
func (r *Reducer) Reported() Moment {
	m := Moment(0)
	for _, h := range r.hosts {
		if n := len(h.Points); n > 0 && (m == 0 || h.Points[n-1].At < m) {
			m = h.Points[n-1].At
		}
	}
	return m
}

// Statements returns the closed periods, oldest first.
func (r *Reducer) Statements() []Statement {
	return slices.Clone(r.statements)
}

// Opened returns the first moment of the period that lasts, or 0 if no host was
// ever owned.
func (r *Reducer) Opened() Moment {
	return max(r.began, r.closed)
}

// Chain returns the last link.
func (r *Reducer) Chain() Link {
	return r.chain
}

// Refusals returns the last reports that were not counted, and the number of all.
func (r *Reducer) Refusals() ([]Refusal, int64) {
	return slices.Clone(r.refusals), r.refused
}

// Ownership returns the open interval of each host.
func (r *Reducer) Ownership() map[inventory.HostID]Interval {
	out := make(map[inventory.HostID]Interval, len(r.hosts))
	for id, h := range r.hosts {
		if i, ok := h.open(); ok {
			out[id] = i
		}
	}
	return out
}

// LastReport returns the moment and restart of the latest counted report of a
// worker; false if there is none.
func (r *Reducer) LastReport(w inventory.WorkerID) (boot int, at Moment, ok bool) {
	h, found := r.hosts[w.Host()]
	if !found || len(h.Points) == 0 {
		return 0, 0, false
	}
	p := h.Points[len(h.Points)-1]
	return p.Boot, p.At, true
}

// marshalledHost is a host's account in snapshots.
type marshalledHost struct {
	Intervals       []Interval
	Points          []point
	Settled, Closed Moment
	Lines           []Line
}

// marshalled is the form of the state in snapshots.
type marshalled struct {
	Hosts       map[inventory.HostID]marshalledHost
	Corrections []Correction
	Statements  []Statement
	Began       Moment
	Closed      Moment
	Chain       Link
	Links       []Link
	Refusals    []Refusal
	Refused     int64
}

// MarshalState returns the accounts and the chain.
func (r *Reducer) MarshalState() ([]byte, error) {
	m := marshalled{
		Hosts: make(map[inventory.HostID]marshalledHost, len(r.hosts)), Corrections: r.corrections, Statements: r.statements,
		Began: r.began, Closed: r.closed, Chain: r.chain, Links: r.links, Refusals: r.refusals, Refused: r.refused,
	}
	for id, h := range r.hosts {
		m.Hosts[id] = marshalledHost{h.Intervals, h.Points, h.Settled, h.Closed, h.Shares.lines()}
	}
	return json.Marshal(m)
}

// UnmarshalState replaces the state.
func (r *Reducer) UnmarshalState(b []byte) error {
	var m marshalled
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	*r = Reducer{
		hosts: make(map[inventory.HostID]*host, len(m.Hosts)), corrections: m.Corrections, statements: m.Statements,
		began: m.Began, closed: m.Closed, chain: m.Chain, links: m.Links, refusals: m.Refusals, refused: m.Refused,
	}
	for id, h := range m.Hosts {
		n := &host{Intervals: h.Intervals, Points: h.Points, Settled: h.Settled, Closed: h.Closed, Shares: make(shares)}
		for _, l := range h.Lines {
			n.Shares.add(poolKey{l.Owner, l.Pool}, l.Share)
		}
		r.hosts[id] = n
	}
	return nil
}
