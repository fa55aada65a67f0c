package bill

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// Errors of an audit.
var (
	ErrGap      = eris.New("records are missing")
	ErrMismatch = eris.New("the bill differs from its records")
)

// Audit computes a bill independently, from the records of a usage stream only.
type Audit struct {
	bill         *Reducer
	stateMachine *journal.StateMachine
	// links holds the digest of the chain by the offset of each record in it.
	links map[journal.Offset]Digest
}

// NewAudit returns an audit without records.
func NewAudit() *Audit {
	a := &Audit{bill: NewReducer(), links: make(map[journal.Offset]Digest)}
	leases := lease.NewReducer()
	a.stateMachine = journal.NewStateMachine(leases, a.bill, leases)
	return a
}

// Add applies the next records. first is the offset of the first one.
func (a *Audit) Add(first journal.Offset, records []json.RawMessage) error {
	for i, raw := range records {
		o := first + journal.Offset(i)
		result, err := a.stateMachine.Apply(o, raw)
		if err != nil {
			return eris.Wrapf(ErrGap, "%s", err)
		}
		if result.Kind == KindSeal {
			if err := a.checkSeal(o, raw); err != nil {
				return err
			}
		}
		if result.Outcome == journal.Unreadable {
			return eris.Wrapf(ErrTampered, "record at offset %d: %s", o, result.Reason)
		}
		if l := a.bill.Chain(); l.Offset == o {
			a.links[o] = l.Digest
		}
	}
	return nil
}

// checkSeal compares a seal with the chain, even if the record was rejected: its writer
// had the chain that the seal records.
func (a *Audit) checkSeal(o journal.Offset, raw json.RawMessage) error {
	r, err := journal.Decode(raw)
	if err != nil {
		return err
	}
	s, err := journal.DecodeBody[Seal](r)
	if err != nil {
		return eris.Wrapf(ErrTampered, "seal at offset %d: %s", o, err)
	}
	return eris.Wrapf(a.CheckLink(Link{Offset: s.Offset, Digest: s.Chain}), "seal at offset %d", o)
}

// Next returns the offset of the next record.
func (a *Audit) Next() journal.Offset {
	return a.stateMachine.NextOffset()
}

// CheckLink compares the chain with a link that was stored elsewhere.
func (a *Audit) CheckLink(l Link) error {
	d, ok := a.links[l.Offset]
	if !ok {
		return eris.Wrapf(ErrTampered, "no record of the bill at offset %d", l.Offset)
	}
	if d != l.Digest {
		return eris.Wrapf(ErrTampered, "the chain at offset %d is %s, expected %s", l.Offset, d, l.Digest)
	}
	return nil
}

// CheckStatement compares the chain and the lines of a statement with those computed from
// the records, and checks its sums.
func (a *Audit) CheckStatement(s Statement) error {
	if s.Chain.Offset >= 0 {
		if err := a.CheckLink(s.Chain); err != nil {
			return err
		}
	}
	computed := a.bill.Statement(s.To)
	for _, c := range a.bill.Statements() {
		if c.From == s.From && c.To == s.To {
			computed = c
		}
	}
	if computed.Chain != s.Chain {
		return eris.Wrapf(ErrMismatch, "the records go on to offset %d, the statement to %d", computed.Chain.Offset, s.Chain.Offset)
	}
	if err := compareLines(s.Lines, computed.Lines); err != nil {
		return err
	}
	return CheckSums(s.Lines)
}

func compareLines(got, want []Line) error {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return eris.Wrapf(ErrMismatch, "the statement lacks %s of %s", want[i].Pool, want[i].Owner)
		case i >= len(want):
			return eris.Wrapf(ErrMismatch, "the records give no %s of %s", got[i].Pool, got[i].Owner)
		case got[i] != want[i]:
			return eris.Wrapf(ErrMismatch, "the statement says %+v, the records give %+v", got[i], want[i])
		}
	}
	return nil
}

// CheckSums checks that used and idle core time of each line add up exactly to its
// capacity.
func CheckSums(lines []Line) error {
	for _, l := range lines {
		if l.Used+l.Idle != l.Capacity {
			return eris.Wrapf(ErrMismatch, "%s of %s: %d used and %d idle are not %d", l.Pool, l.Owner, l.Used, l.Idle, l.Capacity)
		}
	}
	return nil
}
