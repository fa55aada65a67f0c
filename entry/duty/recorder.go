package duty

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// ErrNotAccepted means that the fold rejected a record of the duty.
var ErrNotAccepted = eris.New("record was not accepted")

// RecorderConfig is what a recorder is built from.
type RecorderConfig struct {
	Name inventory.EntryID
	Duty lease.Duty
	// Record appends a record and waits for its verdict.
	Record func(ctx context.Context, r journal.Record) (journal.Result, error)
}

// Recorder writes the records of a duty's holder one after the other, each read
// back before the next is decided.
type Recorder struct {
	cfg   RecorderConfig
	epoch journal.Epoch
	// pending may be in the log and was not read back.
	pending *journal.Record
}

// NewRecorder returns a recorder of epoch 0.
func NewRecorder(cfg RecorderConfig) *Recorder {
	return &Recorder{cfg: cfg}
}

// Begin makes all further records bear the epoch. What is pending is forgotten:
// the fold fences it if it comes late.
func (r *Recorder) Begin(epoch journal.Epoch) {
	r.epoch, r.pending = epoch, nil
}

// Epoch returns the epoch that records bear.
func (r *Recorder) Epoch() journal.Epoch {
	return r.epoch
}

// IsPending reports whether a record may be in the log and was not read back.
func (r *Recorder) IsPending() bool {
	return r.pending != nil
}

// Settle appends a pending record again, under the same identity, and waits for
// its verdict.
func (r *Recorder) Settle(ctx context.Context) error {
	if r.pending == nil {
		return nil
	}
	return r.append(ctx, *r.pending)
}

// Write appends a record and waits until it was read back. The error is
// platform.ErrNotAppended if it is not in the log, and ErrNotAccepted if the
// fold rejected it.
func (r *Recorder) Write(ctx context.Context, now time.Time, kind journal.Kind, body any) error {
	rec, err := journal.NewRecord(journal.RecordID(uuid.NewString()), kind, now, string(r.cfg.Name), body)
	if err != nil {
		return err
	}
	rec.Duty, rec.Epoch = string(r.cfg.Duty), r.epoch
	return r.append(ctx, rec)
}

func (r *Recorder) append(ctx context.Context, rec journal.Record) error {
	r.pending = &rec
	v, err := r.cfg.Record(ctx, rec)
	if errors.Is(err, platform.ErrNotAppended) {
		r.pending = nil
	}
	if err != nil {
		return eris.Wrapf(err, "recording %s", rec.Kind)
	}
	r.pending = nil
	if v.Outcome != journal.Accepted && v.Outcome != journal.Duplicate {
		return eris.Wrapf(ErrNotAccepted, "%s: %s", rec.Kind, v.Reason)
	}
	return nil
}
