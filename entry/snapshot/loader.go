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

// Reading back from the end of the snapshots' stream.
const (
	// firstLook is how many records are read first; each further look doubles.
	firstLook = 16
	// readRecords bounds the records of one read; 16 chunks are 6 MB encoded.
	readRecords = 16
)

// Target takes a snapshot and returns the offset that is applied then.
type Target interface {
	Restore(ctx context.Context, s journal.Snapshot, now time.Time) (journal.Offset, error)
}

// PeerSource reads a snapshot from a peer that has applied more than the offset.
type PeerSource interface {
	ReadSnapshot(ctx context.Context, beyond journal.Offset) (journal.Snapshot, error)
}

// LoaderConfig is what a loader is built from.
type LoaderConfig struct {
	Log    logrus.FieldLogger
	Stream journal.StreamID
	Source platform.StreamReader
	// Peers may be nil; then only the log has snapshots.
	Peers  PeerSource
	Target Target
}

// Loader restores the newest snapshot that is whole: from the log, or from a
// peer while the platform is away.
type Loader struct {
	cfg LoaderConfig
}

// NewLoader returns a loader.
func NewLoader(cfg LoaderConfig) *Loader {
	return &Loader{cfg: cfg}
}

// Restore is a platform.RestoreFunc.
func (l *Loader) Restore(ctx context.Context, from journal.Offset) (journal.Offset, bool) {
	s, err := l.fromLog()
	if err == nil && s.Next <= from {
		return from, false
	}
	if err != nil && l.cfg.Peers != nil {
		l.cfg.Log.WithError(err).Info("no snapshot from the log")
		s, err = l.cfg.Peers.ReadSnapshot(ctx, from)
	}
	if err != nil {
		l.cfg.Log.WithError(err).Info("no snapshot")
		return from, false
	}
	next, err := l.cfg.Target.Restore(ctx, s, time.Now())
	if err != nil {
		l.cfg.Log.WithError(err).Error("a whole snapshot was refused")
		return from, false
	}
	return next, next > from
}

// fromLog returns the newest whole snapshot of the log. It reads back from the
// end and stops at the first whole one.
func (l *Loader) fromLog() (journal.Snapshot, error) {
	stream := journal.StreamSnapshots(l.cfg.Stream)
	head, err := l.cfg.Source.Read(stream, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrForgotten) {
		return journal.Snapshot{}, err
	}
	a := journal.NewAssembler(l.cfg.Stream)
	for look, to := journal.Offset(firstLook), head.End; to > head.Oldest; look *= 2 {
		from := max(to-look, head.Oldest)
		if err := l.read(a, stream, from, to); err != nil {
			return journal.Snapshot{}, err
		}
		if s, ok := a.Newest(); ok {
			return s, nil
		}
		to = from
	}
	return journal.Snapshot{}, eris.Wrapf(journal.ErrInvalidSnapshot, "none is whole between %d and %d", head.Oldest, head.End)
}

func (l *Loader) read(a *journal.Assembler, stream journal.StreamID, from, to journal.Offset) error {
	for from < to {
		b, err := l.cfg.Source.Read(stream, from, int(min(to-from, readRecords)), 0)
		if err != nil {
			return err
		}
		if len(b.Records) == 0 {
			return nil
		}
		for _, raw := range b.Records {
			l.add(a, raw)
		}
		from += journal.Offset(len(b.Records))
	}
	return nil
}

func (l *Loader) add(a *journal.Assembler, raw []byte) {
	r, err := journal.Decode(raw)
	if err != nil || r.Kind != journal.KindSnapshotChunk {
		return
	}
	c, err := journal.DecodeBody[journal.Chunk](r)
	if err == nil {
		err = a.Add(c)
	}
	if err != nil {
		l.cfg.Log.WithError(err).Warn("chunk of a snapshot passed over")
	}
}
