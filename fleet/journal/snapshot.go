package journal

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// Limits and version of snapshots.
const (
	// MaxSnapshotBytes limits the size of an uncompressed snapshot.
	MaxSnapshotBytes = 64 << 20
	// SnapshotFormat is the version of the snapshot format.
	SnapshotFormat = 1
)

// Errors of snapshots.
var (
	// ErrInvalidSnapshot refuses a snapshot that is incomplete, inconsistent or corrupt.
	ErrInvalidSnapshot = eris.New("snapshot refused")
	// ErrPartialRestore means that some reducers took the state of a snapshot and another
	// could not decode its part.
	ErrPartialRestore = eris.New("snapshot restored in part")
)

// Snapshot is the complete state of a state machine at an offset. Hosts of the same
// release have equal snapshots at equal offsets.
type Snapshot struct {
	Format int
	Stream StreamID
	// Next is the offset of the first record that is not included.
	Next    Offset
	Digest  uint64
	History uint64
	Counts  map[Outcome]int64
	// Seen is the concatenation of the remembered ID digests, 16 bytes each, oldest first.
	Seen   []byte
	Recent []Result
	// Parts holds the state of each reducer, keyed by the first of its kinds.
	Parts map[Kind]json.RawMessage
}

// Snapshot returns the state of the state machine.
func (m *StateMachine) Snapshot(stream StreamID) (Snapshot, error) {
	history, _ := m.history.digestAt(m.next)
	s := Snapshot{
		Format: SnapshotFormat, Stream: stream, Next: m.next, Digest: m.digest, History: history,
		Counts: m.Counts(), Recent: m.Recent(), Parts: make(map[Kind]json.RawMessage, len(m.reducers)),
	}
	for _, k := range m.seen.Items() {
		s.Seen = append(s.Seen, k[:]...)
	}
	for _, r := range m.reducers {
		b, err := r.MarshalState()
		if err != nil {
			return Snapshot{}, eris.Wrapf(err, "marshalling the state of %s", r.Kinds()[0])
		}
		s.Parts[r.Kinds()[0]] = b
	}
	return s, nil
}

// Restore replaces the state of the state machine by a snapshot that is ahead of it.
// After ErrPartialRestore the state machine must not be used. After any other error it is
// unchanged.
func (m *StateMachine) Restore(s Snapshot) error {
	if err := m.checkSnapshot(s); err != nil {
		return err
	}
	for _, r := range m.reducers {
		b, ok := s.Parts[r.Kinds()[0]]
		if !ok {
			continue
		}
		if err := r.UnmarshalState(b); err != nil {
			return eris.Wrapf(ErrPartialRestore, "state of %s: %s", r.Kinds()[0], err)
		}
	}
	m.seen, m.counts = NewWindow[idDigest](WindowSize), make(map[Outcome]int64)
	for i := 0; i < len(s.Seen); i += len(idDigest{}) {
		m.seen.Add(idDigest(s.Seen[i : i+len(idDigest{})]))
	}
	for k, n := range s.Counts {
		m.counts[k] = n
	}
	m.recent = append([]Result(nil), s.Recent...)
	m.next, m.digest, m.history = s.Next, s.Digest, newDigestHistory(s.Next, s.History)
	return nil
}

// checkSnapshot refuses a snapshot that this release can't restore completely.
func (m *StateMachine) checkSnapshot(s Snapshot) error {
	var total int64
	for _, n := range s.Counts {
		total += n
	}
	switch {
	case s.Next <= m.next && m.next > 0:
		return eris.Wrapf(ErrInvalidSnapshot, "it ends at %d, the state machine has applied up to %d", s.Next, m.next)
	case s.Format != SnapshotFormat:
		return eris.Wrapf(ErrInvalidSnapshot, "format %d", s.Format)
	case s.Next < 0 || total != int64(s.Next):
		return eris.Wrapf(ErrInvalidSnapshot, "%d results up to offset %d", total, s.Next)
	case len(s.Seen)%len(idDigest{}) != 0 || len(s.Seen) > WindowSize*len(idDigest{}):
		return eris.Wrapf(ErrInvalidSnapshot, "%d bytes of ID digests", len(s.Seen))
	case len(s.Recent) > RecentSize:
		return eris.Wrapf(ErrInvalidSnapshot, "%d recent results", len(s.Recent))
	}
	known := make(map[Kind]bool, len(m.reducers))
	for _, r := range m.reducers {
		known[r.Kinds()[0]] = true
		if _, ok := s.Parts[r.Kinds()[0]]; !ok && s.Counts[Unknown] > 0 {
			return eris.Wrapf(ErrInvalidSnapshot, "written by a release that did not know %s", r.Kinds()[0])
		}
	}
	for k := range s.Parts {
		if !known[k] {
			return eris.Wrapf(ErrInvalidSnapshot, "this release does not know %s", k)
		}
	}
	return nil
}

// Pack returns the snapshot in the compressed form that is stored. It returns ErrTooLarge
// for one that Unpack would refuse.
func (s Snapshot) Pack() ([]byte, error) {
	plain, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "packing a snapshot")
	}
	if len(plain) > MaxSnapshotBytes {
		return nil, eris.Wrapf(ErrTooLarge, "snapshot of %s has %d bytes, more than %d", s.Stream, len(plain), MaxSnapshotBytes)
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "packing a snapshot")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "packing a snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "packing a snapshot")
	}
	return b.Bytes(), nil
}

// Unpack decodes a packed snapshot.
func Unpack(b []byte) (Snapshot, error) {
	var s Snapshot
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return s, eris.Wrapf(ErrInvalidSnapshot, "%s", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxSnapshotBytes+1))
	if err != nil {
		return s, eris.Wrapf(ErrInvalidSnapshot, "%s", err)
	}
	if len(plain) > MaxSnapshotBytes {
		return s, eris.Wrapf(ErrInvalidSnapshot, "more than %d bytes", MaxSnapshotBytes)
	}
	if err := json.Unmarshal(plain, &s); err != nil {
		return Snapshot{}, eris.Wrapf(ErrInvalidSnapshot, "%s", err)
	}
	return s, nil
}
