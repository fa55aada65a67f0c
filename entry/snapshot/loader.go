package snapshot

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Limits of reading back from the end of the stream of snapshots.
const (
	// firstReadBack is how many records are read first; each further step reads twice as
	// many.
	firstReadBack = 16
	// maxRecordsPerRead bounds the records of one read call; 16 chunks are 6 MB encoded.
	maxRecordsPerRead = 16
)

// Target replaces its state by a snapshot that is ahead of it and returns the offset of
// the next record to apply.
type Target interface {
	Restore(ctx context.Context, s journal.Snapshot, now time.Time) (journal.Offset, error)
}

// PeerSource reads a snapshot from a peer that has applied records beyond the offset.
type PeerSource interface {
	ReadSnapshot(ctx context.Context, beyond journal.Offset) (journal.Snapshot, error)
}

// LoaderConfig configures a Loader.
type LoaderConfig struct {
	Log    logrus.FieldLogger
	Stream journal.StreamID
	Source platform.StreamReader
	// Peers may be nil; then snapshots come from the log only.
	Peers  PeerSource
	Target Target
}

// Loader restores the newest complete snapshot, from the log or, while the log has none or
// can't be read, from a peer.
type Loader struct {
	cfg LoaderConfig
}

// NewLoader returns a loader of the configured stream.
func NewLoader(cfg LoaderConfig) *Loader {
	return &Loader{cfg: cfg}
}

// Restore implements platform.RestoreFunc: it restores the newest complete snapshot if it
// is beyond the offset.
func (l *Loader) Restore(ctx context.Context, from journal.Offset) (journal.Offset, bool) {
	s, err := l.fromLog()
	if err == nil && s.Next <= from {
		return from, false
	}
	if err != nil && l.cfg.Peers != nil {
		l.cfg.Log.WithError(err).Info("reading a snapshot from the log failed, trying a peer")
		s, err = l.cfg.Peers.ReadSnapshot(ctx, from)
	}
	if err != nil {
		l.cfg.Log.WithError(err).Info("no snapshot to restore")
		return from, false
	}
	next, err := l.cfg.Target.Restore(ctx, s, time.Now())
	if err != nil {
		l.cfg.Log.WithError(err).Error("restoring a complete snapshot failed")
		return from, false
	}
	return next, next > from
}

// fromLog returns the newest complete snapshot of the log. It reads back from the end and
// stops at the first complete one.
func (l *Loader) fromLog() (journal.Snapshot, error) {
	stream := journal.StreamSnapshots(l.cfg.Stream)
	head, err := l.cfg.Source.Read(stream, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return journal.Snapshot{}, err
	}
	a := journal.NewAssembler(l.cfg.Stream)
	for count, to := journal.Offset(firstReadBack), head.End; to > head.Oldest; count *= 2 {
		from := max(to-count, head.Oldest)
		if err := l.readChunks(a, stream, from, to); err != nil {
			return journal.Snapshot{}, err
		}
		if s, ok := a.Newest(); ok {
			return s, nil
		}
		to = from
	}
	return journal.Snapshot{}, eris.Wrapf(journal.ErrInvalidSnapshot, "no complete snapshot between %d and %d", head.Oldest, head.End)
}

// readChunks adds the chunks from one offset up to another to the assembler.
func (l *Loader) readChunks(a *journal.Assembler, stream journal.StreamID, from, to journal.Offset) error {
	for from < to {
		b, err := l.cfg.Source.Read(stream, from, int(min(to-from, maxRecordsPerRead)), 0)
		if err != nil {
			return err
		}
		if len(b.Records) == 0 {
			return nil
		}
		for _, raw := range b.Records {
			l.addChunk(a, raw)
		}
		from += journal.Offset(len(b.Records))
	}
	return nil
}

// addChunk adds a record's chunk to the assembler. Records of other kinds are ignored, and
// a chunk that can't be added is skipped.
func (l *Loader) addChunk(a *journal.Assembler, raw []byte) {
	r, err := journal.Decode(raw)
	if err != nil || r.Kind != journal.KindSnapshotChunk {
		return
	}
	c, err := journal.DecodeBody[journal.Chunk](r)
	if err == nil {
		err = a.Add(c)
	}
	if err != nil {
		l.cfg.Log.WithError(err).Warn("invalid snapshot chunk skipped")
	}
}
