package journal

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// KindCheckpoint is the kind of records whose body is a Checkpoint.
const KindCheckpoint Kind = "Snapshot.Checkpoint"

// Pace of snapshots.
const (
	// SnapshotEvery is the time after which a snapshot is written in any case,
	// so that the newest one is never near the age that the log forgets.
	SnapshotEvery = 6 * time.Hour
	// SnapshotRecords is the number of records after which one is written.
	SnapshotRecords = 4096
)

// ErrOldCheckpoint rejects a checkpoint that is not newer than the last one.
var ErrOldCheckpoint = eris.New("checkpoint is not newer than the last one")

// Checkpoint says in a stream that a whole snapshot of it is kept.
type Checkpoint struct {
	Snapshot SnapshotID
	Next     Offset
	Digest   uint64
	// At is the writer's clock.
	At time.Time
}

// Margin is how far a stream is from losing what no snapshot holds.
type Margin struct {
	// Kept is the number of records that the log keeps.
	Kept Offset
	// Covered is how many of the kept records the newest snapshot covers. At 0
	// records were forgotten that are in no snapshot: a host that starts anew
	// has no way to the state.
	Covered Offset
	// Forgets is set once the log has forgotten records.
	Forgets bool
}

// MarginOf returns the margin of a stream that keeps the offsets from oldest to
// end, with a newest snapshot up to next.
func MarginOf(oldest, end, next Offset) Margin {
	return Margin{Kept: end - oldest, Covered: min(max(next-oldest, 0), end-oldest), Forgets: oldest > 0}
}

// Alarms reports whether less than a quarter of the kept records lie between
// the newest snapshot and the horizon.
func (m Margin) Alarms() bool {
	return m.Forgets && m.Covered*4 < m.Kept
}

// Due reports whether a snapshot has to be written now: by number, by age, or
// because half of the way to the horizon is used up.
func (c Checkpoint) Due(m Margin, next Offset, now time.Time) bool {
	switch {
	case next == 0:
		return false
	case c.Next == 0 || now.Sub(c.At) >= SnapshotEvery:
		return true
	}
	return next-c.Next >= SnapshotRecords || (m.Forgets && m.Covered*2 < m.Kept)
}

// Checkpoints is the reducer that keeps the last checkpoint.
type Checkpoints struct {
	last Checkpoint
}

// Last returns the last checkpoint; its Next is 0 before the first.
func (r *Checkpoints) Last() Checkpoint {
	return r.last
}

// Kinds returns the kinds of records that the reducer folds.
func (r *Checkpoints) Kinds() []Kind {
	return []Kind{KindCheckpoint}
}

// Reduce applies a checkpoint that is newer than the last one.
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
