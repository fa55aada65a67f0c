// Package snapshot writes snapshots of the folded state into the log, restores
// them, and warns while there is time to.
package snapshot

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// Duty is the duty of writing snapshots of a stream.
const Duty lease.Duty = "Snapshots"

// Source gives snapshots of the folded state.
type Source interface {
	Snapshot(ctx context.Context) (journal.Snapshot, error)
}

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Status is how far a stream is folded and kept.
type Status struct {
	// Next is the offset of the first record that is not applied, End the end of
	// the stream as last seen, Oldest that of the oldest record that is kept.
	Next   journal.Offset
	End    journal.Offset
	Oldest journal.Offset
	// Checkpoint names the newest snapshot that is whole in the log.
	Checkpoint journal.Checkpoint
	// Fault is set once the log contradicted itself.
	Fault string
}

// WriterConfig is what a writer is built from.
type WriterConfig struct {
	Log  logrus.FieldLogger
	Name inventory.EntryID
	// Stream is what snapshots are written of.
	Stream journal.StreamID
	// Status returns how far the stream is folded and kept.
	Status  func() Status
	Source  Source
	Records RecordAppender
	// Doubt returns why this host's state must not be kept, or an empty text; it
	// may be nil.
	Doubt func() string
}

// Writer writes a snapshot whenever one is due. Two writers at once do no harm:
// their chunks have different names, and the checkpoint carries the epoch.
type Writer struct {
	cfg WriterConfig
	// last is the newest checkpoint that this writer appended; the folded one
	// may lag behind it.
	last journal.Checkpoint
}

// NewWriter returns the work of the duty.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{cfg: cfg}
}

// Duty returns the duty that guards the work.
func (w *Writer) Duty() lease.Duty {
	return Duty
}

// Tick writes a snapshot if one is due.
func (w *Writer) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	st := w.cfg.Status()
	newest := st.Checkpoint
	if w.last.Next > newest.Next {
		newest = w.last
	}
	if !newest.Due(journal.NewMargin(st.Oldest, st.End, newest.Next), st.Next, now) {
		return nil
	}
	if w.cfg.Doubt != nil {
		if why := w.cfg.Doubt(); why != "" {
			return eris.Wrap(journal.ErrInvalidSnapshot, why)
		}
	}
	s, err := w.cfg.Source.Snapshot(ctx)
	if err != nil {
		return err
	}
	return w.write(ctx, s, now, epoch)
}

// write appends all chunks, then the checkpoint that names them.
func (w *Writer) write(ctx context.Context, s journal.Snapshot, now time.Time, epoch journal.Epoch) error {
	id := journal.SnapshotID(uuid.NewString())
	chunks, err := journal.Split(s, id)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		name := journal.RecordID(fmt.Sprintf("%s-%d", id, c.Index))
		if err := w.append(ctx, journal.StreamSnapshots(s.Stream), name, journal.KindSnapshotChunk, c, now, 0); err != nil {
			return err
		}
	}
	c := journal.Checkpoint{Snapshot: id, Next: s.Next, Digest: s.Digest, At: now.UTC()}
	if err := w.append(ctx, s.Stream, journal.RecordID(id), journal.KindCheckpoint, c, now, epoch); err != nil {
		return err
	}
	w.last = c
	w.cfg.Log.WithFields(logrus.Fields{"Stream": s.Stream, "Next": s.Next, "Chunks": len(chunks)}).Info("snapshot written")
	return nil
}

// append adds one record, fenced by the duty if an epoch is given.
func (w *Writer) append(ctx context.Context, stream journal.StreamID, id journal.RecordID, kind journal.Kind, body any, now time.Time, epoch journal.Epoch) error {
	r, err := journal.NewRecord(id, kind, now, string(w.cfg.Name), body)
	if err != nil {
		return err
	}
	if epoch > 0 {
		r.Duty, r.Epoch = string(Duty), epoch
	}
	return w.cfg.Records.Append(ctx, stream, r)
}
