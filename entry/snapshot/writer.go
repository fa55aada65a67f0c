// Package snapshot writes snapshots of the applied state to the log, restores them, and
// warns before the log deletes records that no snapshot contains.
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

// Duty is the leased duty of writing the snapshots of a stream.
const Duty lease.Duty = "Snapshots"

// Source returns snapshots of the applied state.
type Source interface {
	Snapshot(ctx context.Context) (journal.Snapshot, error)
}

// RecordAppender appends a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Status describes how far a stream is applied, and what the log retains of it.
type Status struct {
	// Next is the offset of the first record that is not applied, End the end of
	// the stream as last seen, Oldest the offset of the oldest retained record.
	Next   journal.Offset
	End    journal.Offset
	Oldest journal.Offset
	// Checkpoint names the newest snapshot that is complete in the log.
	Checkpoint journal.Checkpoint
	// Fault is the cause while the log is inconsistent.
	Fault string
}

// WriterConfig configures a Writer.
type WriterConfig struct {
	Log  logrus.FieldLogger
	Name inventory.EntryID
	// Stream is the stream whose state is written.
	Stream journal.StreamID
	// Status returns how far the stream is applied and retained.
	Status  func() Status
	Source  Source
	Records RecordAppender
	// InvalidReason returns why this host's state may be wrong and must not be written as a
	// snapshot, or an empty text; it may be nil.
	InvalidReason func() string
}

// Writer writes a snapshot whenever one is due. Concurrent writers are safe: their chunks
// have different IDs, and the checkpoint is fenced by the epoch.
type Writer struct {
	cfg WriterConfig
	// lastAppended is the newest checkpoint that this writer appended; the applied one
	// may lag behind it.
	lastAppended journal.Checkpoint
}

// NewWriter returns a writer that has appended no checkpoint yet.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{cfg: cfg}
}

// Duty returns the duty whose holder writes the snapshots.
func (w *Writer) Duty() lease.Duty {
	return Duty
}

// Tick writes a snapshot if one is due.
func (w *Writer) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	st := w.cfg.Status()
	newest := st.Checkpoint
	if w.lastAppended.Next > newest.Next {
		newest = w.lastAppended
	}
	if !newest.Due(journal.NewMargin(st.Oldest, st.End, newest.Next), st.Next, now) {
		return nil
	}
	if w.cfg.InvalidReason != nil {
		if reason := w.cfg.InvalidReason(); reason != "" {
			return eris.Wrap(journal.ErrInvalidSnapshot, reason)
		}
	}
	s, err := w.cfg.Source.Snapshot(ctx)
	if err != nil {
		return err
	}
	return w.write(ctx, s, now, epoch)
}

// write appends all chunks, then the checkpoint that refers to them.
func (w *Writer) write(ctx context.Context, s journal.Snapshot, now time.Time, epoch journal.Epoch) error {
	id := journal.SnapshotID(uuid.NewString())
	chunks, err := journal.Split(s, id)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		chunkID := journal.RecordID(fmt.Sprintf("%s-%d", id, c.Index))
		if err := w.append(ctx, journal.StreamSnapshots(s.Stream), chunkID, journal.KindSnapshotChunk, c, now, 0); err != nil {
			return err
		}
	}
	c := journal.Checkpoint{Snapshot: id, Next: s.Next, Digest: s.Digest, At: now.UTC()}
	if err := w.append(ctx, s.Stream, journal.RecordID(id), journal.KindCheckpoint, c, now, epoch); err != nil {
		return err
	}
	w.lastAppended = c
	w.cfg.Log.WithFields(logrus.Fields{"Stream": s.Stream, "Next": s.Next, "Chunks": len(chunks)}).Info("snapshot written")
	return nil
}

// append appends one record. With an epoch the record is fenced by the duty.
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
