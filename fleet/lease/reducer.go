// Package lease decides which entry host holds a duty. The order of the log decides
// between concurrent claims; epochs fence all previous holders.
// It belongs to the program entry; the program godwitcross elects a leader in
// entry/election.
package lease

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Duty names a singleton task, which one entry host performs at a time.
type Duty string

// Kinds of lease records.
const (
	KindClaim   journal.Kind = "Lease.Claim"
	KindRenew   journal.Kind = "Lease.Renew"
	KindRelease journal.Kind = "Lease.Release"
)

// Durations of leases.
const (
	// Duration is the duration of a lease, counted from when the holder sent its claim or
	// renewal.
	Duration = 6 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 2 * time.Second
	// GracePeriod is how long other hosts wait beyond the end of a lease, which they
	// count from when they saw the claim or renewal. It covers clocks that run at
	// different rates.
	GracePeriod = 2 * time.Second
)

// Reasons why a record is rejected. Their texts are stored with the record's outcome.
var (
	ErrClaimedByOther = eris.New("the duty was claimed by another")
	ErrRenewed        = eris.New("the duty was renewed by its holder")
	ErrNotHolder      = eris.New("the duty is not held by this host")
)

// SequenceNumber counts the claims and renewals of a holder. It increases across restarts.
type SequenceNumber int64

// Claim takes over a duty from the holder of an epoch.
type Claim struct {
	Duty   Duty
	Holder inventory.EntryID
	// From is the epoch that the claimant saw; the claim is rejected if it is
	// not the current one.
	From journal.Epoch
	// Seen is the offset of the last renewal that the claimant saw. The claim is
	// rejected if the holder has renewed since, so that a claimant that was paused
	// cannot take a duty from an active holder.
	Seen journal.Offset
	// Number tells the holder which of its records started or extended a lease.
	Number SequenceNumber
}

// Renew extends the leases of all duties that a host holds.
type Renew struct {
	Holder inventory.EntryID
	Number SequenceNumber
	// Held has the epoch of each duty that the host keeps.
	Held map[Duty]journal.Epoch
}

// Release releases a duty before its lease expires.
type Release struct {
	Duty   Duty
	Holder inventory.EntryID
	Epoch  journal.Epoch
}

// Holding is the current holder of a duty.
type Holding struct {
	// Holder is empty after a release.
	Holder inventory.EntryID
	// Epoch counts accepted claims and never decreases.
	Epoch journal.Epoch
	// Renewed is the offset of the last accepted claim, renewal or release, Number the
	// number of the last accepted claim or renewal.
	Renewed journal.Offset
	Number  SequenceNumber
}

// Reducer applies claims, renewals and releases. It reads no clock: a claim that names
// the current epoch is valid at any time, and hosts decide by their own clocks when to
// claim.
type Reducer struct {
	duties map[Duty]Holding
}

// NewReducer returns a Reducer in which no duty is held.
func NewReducer() *Reducer {
	return &Reducer{duties: make(map[Duty]Holding)}
}

// Holding returns the current holder of the duty.
func (r *Reducer) Holding(d Duty) Holding {
	return r.duties[d]
}

// Holdings returns a copy of all holdings.
func (r *Reducer) Holdings() map[Duty]Holding {
	c := make(map[Duty]Holding, len(r.duties))
	for d, h := range r.duties {
		c[d] = h
	}
	return c
}

// Fence returns journal.ErrStaleEpoch for a record of a previous holder of its duty.
// Records without a duty are not fenced.
func (r *Reducer) Fence(rec journal.Record) error {
	if rec.Duty == "" {
		return nil
	}
	if current := r.duties[Duty(rec.Duty)].Epoch; rec.Epoch != current {
		return eris.Wrapf(journal.ErrStaleEpoch, "duty %s has epoch %d, the record has %d", rec.Duty, current, rec.Epoch)
	}
	return nil
}

// Kinds returns the kinds of records that the reducer applies.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindClaim, KindRenew, KindRelease}
}

// Reduce applies a claim, a renewal or a release.
func (r *Reducer) Reduce(e journal.Entry) error {
	switch e.Record.Kind {
	case KindClaim:
		return r.applyClaim(e)
	case KindRenew:
		return r.applyRenewal(e)
	}
	return r.applyRelease(e)
}

func (r *Reducer) applyClaim(e journal.Entry) error {
	c, err := journal.DecodeBody[Claim](e.Record)
	if err != nil {
		return err
	}
	h := r.duties[c.Duty]
	if c.From != h.Epoch {
		return eris.Wrapf(ErrClaimedByOther, "duty %s is at epoch %d, the claim saw %d", c.Duty, h.Epoch, c.From)
	}
	if c.Seen != h.Renewed {
		return eris.Wrapf(ErrRenewed, "duty %s was renewed at %d, the claim saw %d", c.Duty, h.Renewed, c.Seen)
	}
	r.duties[c.Duty] = Holding{Holder: c.Holder, Epoch: h.Epoch + 1, Renewed: e.Offset, Number: c.Number}
	return nil
}

func (r *Reducer) applyRenewal(e journal.Entry) error {
	n, err := journal.DecodeBody[Renew](e.Record)
	if err != nil {
		return err
	}
	renewed := 0
	for d, epoch := range n.Held {
		h := r.duties[d]
		if h.Holder != n.Holder || h.Epoch != epoch {
			continue
		}
		h.Renewed, h.Number = e.Offset, n.Number
		r.duties[d] = h
		renewed++
	}
	if renewed == 0 {
		return eris.Wrapf(ErrNotHolder, "renewal by %s", n.Holder)
	}
	return nil
}

func (r *Reducer) applyRelease(e journal.Entry) error {
	l, err := journal.DecodeBody[Release](e.Record)
	if err != nil {
		return err
	}
	h := r.duties[l.Duty]
	if h.Holder != l.Holder || h.Epoch != l.Epoch {
		return eris.Wrapf(ErrNotHolder, "release of %s by %s", l.Duty, l.Holder)
	}
	h.Holder = ""
	h.Renewed = e.Offset
	r.duties[l.Duty] = h
	return nil
}

// MarshalState encodes the holdings.
func (r *Reducer) MarshalState() ([]byte, error) {
	return json.Marshal(r.duties)
}

// UnmarshalState replaces the holdings by encoded ones.
func (r *Reducer) UnmarshalState(b []byte) error {
	duties := make(map[Duty]Holding)
	if err := json.Unmarshal(b, &duties); err != nil {
		return err
	}
	r.duties = duties
	return nil
}
