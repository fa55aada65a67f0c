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

// ErrNotAccepted means that a record of the duty was not accepted when it was applied.
var ErrNotAccepted = eris.New("record was not accepted")

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	Name inventory.EntryID
	Duty lease.Duty
	// Record appends a record and waits for the result of applying it.
	Record func(ctx context.Context, r journal.Record) (journal.Result, error)
}

// Recorder writes the records of a duty's holder one at a time. Each is read back before
// the holder decides on the next.
type Recorder struct {
	cfg   RecorderConfig
	epoch journal.Epoch
	// pending is the record that may be in the log and was not read back yet.
	pending *journal.Record
}

// NewRecorder returns a recorder with epoch 0.
func NewRecorder(cfg RecorderConfig) *Recorder {
	return &Recorder{cfg: cfg}
}

// Begin sets the epoch of all further records and drops the pending record: if that
// record arrives late, it is fenced by its older epoch.
func (r *Recorder) Begin(epoch journal.Epoch) {
	r.epoch, r.pending = epoch, nil
}

// Epoch returns the epoch of the records.
func (r *Recorder) Epoch() journal.Epoch {
	return r.epoch
}

// IsPending reports whether a record may be in the log and was not read back yet.
func (r *Recorder) IsPending() bool {
	return r.pending != nil
}

// AppendPending appends a pending record again, under the same ID, and waits for the result of
// applying it.
func (r *Recorder) AppendPending(ctx context.Context) error {
	if r.pending == nil {
		return nil
	}
	return r.append(ctx, *r.pending)
}

// Write appends a record and waits until it was read back. The error is
// platform.ErrNotAppended if it is not in the log, and ErrNotAccepted if it was read back
// and not accepted. After any other error of the append the record stays pending.
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
	result, err := r.cfg.Record(ctx, rec)
	if errors.Is(err, platform.ErrNotAppended) {
		r.pending = nil
	}
	if err != nil {
		return eris.Wrapf(err, "recording %s", rec.Kind)
	}
	r.pending = nil
	if result.Outcome != journal.Accepted && result.Outcome != journal.Duplicate {
		return eris.Wrapf(ErrNotAccepted, "%s: %s", rec.Kind, result.Reason)
	}
	return nil
}
