package bill

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Limits of the state.
const (
	// maxStatements is the number of statements of closed periods that are kept.
	maxStatements = 24
	// maxRefusals is the number of refused reports that are kept.
	maxRefusals = 64
)

// Refusal is a report that was not counted.
type Refusal struct {
	Report
	Reason string
}

// Reducer applies the records of a data centre's usage stream.
type Reducer struct {
	hosts       map[inventory.HostID]*host
	corrections []Correction
	statements  []Statement
	// start is the start of the first interval, and closed the end of the last closed
	// period. Each is 0 until there is one.
	start, closed Moment
	chain         Link
	// links holds the last maxRecentLinks links, oldest first.
	links []Link
	// refusals holds the last refused reports, and refused is the number of all.
	refusals []Refusal
	refused  int64
}

// NewReducer returns a reducer without hosts.
func NewReducer() *Reducer {
	return &Reducer{hosts: make(map[inventory.HostID]*host), chain: Link{Offset: -1}}
}

// Kinds returns the kinds of records that the reducer applies.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindTransfer, KindReport, KindCorrection, KindSeal}
}

// Reduce applies one record and adds it to the chain.
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
	if len(r.links) > maxRecentLinks {
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
	for _, transfer := range t.Transfers {
		if r.start == 0 || transfer.At < r.start {
			r.start = transfer.At
		}
		r.host(transfer.Host).transfer(transfer)
	}
	return nil
}

func (r *Reducer) report(b Reports) error {
	for _, report := range b.Reports {
		h := r.host(report.Worker.Host())
		if reason := h.insert(sample{Boot: report.Boot, At: report.At, Used: report.Used}); reason != "" {
			r.refuse(report, reason)
			continue
		}
		h.settle()
	}
	return nil
}

func (r *Reducer) refuse(report Report, reason string) {
	r.refused++
	r.refusals = append(r.refusals, Refusal{Report: report, Reason: reason})
	if len(r.refusals) > maxRefusals {
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

// seal compares the chain with the one that the writer of the seal had, and closes the
// period if the seal says so.
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
	if to <= r.PeriodStart() {
		return eris.Wrapf(ErrPeriod, "the period begins at %s only", r.PeriodStart().Time())
	}
	for id, h := range r.hosts {
		if h.Settled > to {
			return eris.Wrapf(ErrPeriod, "host %s is settled up to %s", id, h.Settled.Time())
		}
	}
	st := Statement{From: r.PeriodStart(), To: to, Chain: r.chain}
	sum := make(shares)
	for _, h := range r.hosts {
		for k, v := range h.close(to) {
			sum.add(k, v)
		}
	}
	st.Lines = r.correctedLines(sum)
	r.corrections, r.closed = nil, to
	r.statements = append(r.statements, st)
	if len(r.statements) > maxStatements {
		r.statements = r.statements[1:]
	}
	return nil
}

func (r *Reducer) correctedLines(sum shares) []Line {
	for _, c := range r.corrections {
		sum.correct(c)
	}
	return sum.lines()
}

// Statement returns the bill of the open period up to a time. An earlier time than the
// latest settled one is replaced by that.
func (r *Reducer) Statement(to Moment) Statement {
	to = max(to, r.settledUntil())
	sum := make(shares)
	for _, h := range r.hosts {
		for k, v := range h.Shares {
			sum.add(k, v)
		}
		h.accumulate(to, sum)
	}
	return Statement{From: r.PeriodStart(), To: to, Lines: r.correctedLines(sum), Chain: r.chain}
}

// settledUntil returns the latest time up to which any host is settled.
func (r *Reducer) settledUntil() Moment {
	m := r.closed
	for _, h := range r.hosts {
		m = max(m, h.Settled)
	}
	return m
}

// ReportedUntil returns the time up to which every host with reports has reported, or 0 if
// there are no reports.
func (r *Reducer) ReportedUntil() Moment {
	m := Moment(0)
	for _, h := range r.hosts {
		if n := len(h.Samples); n > 0 && (m == 0 || h.Samples[n-1].At < m) {
			m = h.Samples[n-1].At
		}
	}
	return m
}

// Statements returns the statements of the closed periods, oldest first.
func (r *Reducer) Statements() []Statement {
	return slices.Clone(r.statements)
}

// PeriodStart returns the start of the open period, or 0 if no host was ever assigned to a
// pool.
func (r *Reducer) PeriodStart() Moment {
	return max(r.start, r.closed)
}

// Chain returns the last link of the chain.
func (r *Reducer) Chain() Link {
	return r.chain
}

// Refusals returns the last refused reports and the number of all refused reports.
func (r *Reducer) Refusals() ([]Refusal, int64) {
	return slices.Clone(r.refusals), r.refused
}

// OpenIntervals returns the open interval of each host.
func (r *Reducer) OpenIntervals() map[inventory.HostID]Interval {
	out := make(map[inventory.HostID]Interval, len(r.hosts))
	for id, h := range r.hosts {
		if i, ok := h.openInterval(); ok {
			out[id] = i
		}
	}
	return out
}

// LastReport returns the restart and time of the latest counted report of a worker, and
// false if there is none.
func (r *Reducer) LastReport(w inventory.WorkerID) (boot int, at Moment, ok bool) {
	h, found := r.hosts[w.Host()]
	if !found || len(h.Samples) == 0 {
		return 0, 0, false
	}
	s := h.Samples[len(h.Samples)-1]
	return s.Boot, s.At, true
}

// hostSnapshot is the encoded form of a host's account.
type hostSnapshot struct {
	Intervals       []Interval
	Points          []sample
	Settled, Closed Moment
	Lines           []Line
}

// snapshot is the encoded form of a reducer's state.
type snapshot struct {
	Hosts       map[inventory.HostID]hostSnapshot
	Corrections []Correction
	Statements  []Statement
	Began       Moment
	Closed      Moment
	Chain       Link
	Links       []Link
	Refusals    []Refusal
	Refused     int64
}

// MarshalState encodes the accounts and the chain.
func (r *Reducer) MarshalState() ([]byte, error) {
	m := snapshot{
		Hosts: make(map[inventory.HostID]hostSnapshot, len(r.hosts)), Corrections: r.corrections, Statements: r.statements,
		Began: r.start, Closed: r.closed, Chain: r.chain, Links: r.links, Refusals: r.refusals, Refused: r.refused,
	}
	for id, h := range r.hosts {
		m.Hosts[id] = hostSnapshot{h.Intervals, h.Samples, h.Settled, h.Closed, h.Shares.lines()}
	}
	return json.Marshal(m)
}

// UnmarshalState replaces the state with an encoded one.
func (r *Reducer) UnmarshalState(b []byte) error {
	var m snapshot
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	*r = Reducer{
		hosts: make(map[inventory.HostID]*host, len(m.Hosts)), corrections: m.Corrections, statements: m.Statements,
		start: m.Began, closed: m.Closed, chain: m.Chain, links: m.Links, refusals: m.Refusals, refused: m.Refused,
	}
	for id, h := range m.Hosts {
		n := &host{Intervals: h.Intervals, Samples: h.Points, Settled: h.Settled, Closed: h.Closed, Shares: make(shares)}
		for _, l := range h.Lines {
			n.Shares.add(poolKey{l.Owner, l.Pool}, l.Share)
		}
		r.hosts[id] = n
	}
	return nil
}
