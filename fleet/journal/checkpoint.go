package journal

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// KindCheckpoint is the kind of records whose body is a Checkpoint.
const KindCheckpoint Kind = "Snapshot.Checkpoint"

// Limits on the distance between snapshots.
const (
	// SnapshotInterval is the maximum time between two snapshots. It keeps the newest one
	// far from the age at which the log deletes records.
	SnapshotInterval = 6 * time.Hour
	// SnapshotRecords is the number of new records after which a snapshot is due.
	SnapshotRecords = 4096
)

// ErrOldCheckpoint rejects a checkpoint that is not newer than the last one.
var ErrOldCheckpoint = eris.New("checkpoint is not newer than the last one")

// Checkpoint records in a stream that a complete snapshot of the stream is stored.
type Checkpoint struct {
	Snapshot SnapshotID
	Next     Offset
	Digest   uint64
	// At is the time by the writer's clock.
	At time.Time
}

// Margin tells how close a stream is to losing records that no snapshot contains.
type Margin struct {
	// Retained is the number of records that the log retains.
	Retained Offset
	// Covered is the number of retained records that the newest snapshot contains. At 0
	// the log may have deleted records that are in no snapshot, and a new host can't
	// rebuild the state.
	Covered Offset
	// Truncated is set once the log has deleted records.
	Truncated bool
}

// NewMargin returns the margin of a stream whose log retains the offsets from oldest up to
// end, and whose newest snapshot ends at next.
func NewMargin(oldest, end, next Offset) Margin {
	return Margin{Retained: end - oldest, Covered: min(max(next-oldest, 0), end-oldest), Truncated: oldest > 0}
}

// NeedsAlarm reports whether the log has been truncated and the newest snapshot covers
// less than a quarter of the retained records.
func (m Margin) NeedsAlarm() bool {
	return m.Truncated && m.Covered*4 < m.Retained
}

// Due reports whether a snapshot is due: because of the number of new records, the age of
// the last snapshot, or because it covers less than half of the records that a truncated
// log retains.
func (c Checkpoint) Due(m Margin, next Offset, now time.Time) bool {
	switch {
	case next == 0:
		return false
	case c.Next == 0 || now.Sub(c.At) >= SnapshotInterval:
		return true
	}
	return next-c.Next >= SnapshotRecords || (m.Truncated && m.Covered*2 < m.Retained)
}

// Checkpoints is the Reducer that keeps the last checkpoint.
type Checkpoints struct {
	last Checkpoint
}

// Last returns the last checkpoint. Its Next is 0 before the first one.
func (r *Checkpoints) Last() Checkpoint {
	return r.last
}

// Kinds returns the kinds of records that the reducer applies.
func (r *Checkpoints) Kinds() []Kind {
	return []Kind{KindCheckpoint}
}

// Reduce applies a checkpoint, or rejects one that is not newer than the last.
func (r *Checkpoints) Reduce(e Entry) error {
	c, err := DecodeBody[Checkpoint](e.Record)
	if err != nil {
		return err
	}
	if c.Next > e.Offset || (c.Next <= r.last.Next && !c.At.After(r.last.At)) {
		return eris.Wrapf(ErrOldCheckpoint, "offset %d after %d", c.Next, r.last.Next)
	}
	r.last = c
	return nil
}

// MarshalState returns the last checkpoint.
func (r *Checkpoints) MarshalState() ([]byte, error) {
	return json.Marshal(r.last)
}

// UnmarshalState replaces the last checkpoint.
func (r *Checkpoints) UnmarshalState(b []byte) error {
	var c Checkpoint
	if err := json.Unmarshal(b, &c); err != nil {
		return err
	}
	r.last = c
	return nil
}
