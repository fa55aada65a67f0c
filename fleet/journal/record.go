// Package journal holds the records that the platform's log keeps and the pure
// fold that turns them, in the order of their offsets, into the same state on
// every host.
package journal

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// MaxRecordBytes is the largest encoded record.
const MaxRecordBytes = 16 << 20

// Errors of the record codec.
var (
	ErrUnreadable = eris.New("unreadable record")
	ErrTooLarge   = eris.New("record too large")
)

// StreamID names a stream of the log.
type StreamID string

// StreamFleet is the global stream of configuration, ownership, grants, waves
// and global duties. One stream gives all of them one order.
const StreamFleet StreamID = "Fleet"

// StreamJobs returns the stream of a data centre's jobs.
func StreamJobs(dc inventory.DataCentreID) StreamID {
	return StreamID("Jobs." + string(dc))
}

// StreamUsage returns the stream of a data centre's usage reports.
func StreamUsage(dc inventory.DataCentreID) StreamID {
	return StreamID("Usage." + string(dc))
}

// Offset is the position of a record in its stream. The first is 0.
type Offset int64

// RecordID is unique to one decision. A record that is appended again after an
// uncertain append keeps its ID.
type RecordID string

// recordKey is a digest of an identity, so that remembering many of them costs
// the same however long they are.
type recordKey [16]byte

func (id RecordID) key() recordKey {
	sum := sha256.Sum256([]byte(id))
	return recordKey(sum[:16])
}

// Kind names what a record's body is.
type Kind string

// Epoch fences holders of a duty: a record with an older epoch is rejected.
type Epoch int64

// Record is one line of a stream.
type Record struct {
	ID   RecordID
	Kind Kind
	// Schema is the version of the body's form, from 1.
	Schema int
	// Duty and Epoch fence the record; they are empty for records that no duty
	// guards.
	Duty  string `json:",omitempty"`
	Epoch Epoch  `json:",omitempty"`
	// Before is the first offset at which the record has no effect any more; 0
	// means none. The writer sets it to WindowSize beyond an end of the stream
	// that it saw, so that the fold still knows the record when a repeat arrives.
	Before Offset `json:",omitempty"`
	// At is the writer's clock. It is for people and bills, never for order.
	At time.Time
	// By is the operator who caused the record or the entry host that wrote it.
	By   string
	Body json.RawMessage
}

// Entry is a record at its place in a stream.
type Entry struct {
	Offset Offset
	Record Record
}

// NewRecord returns a record of schema 1 with the encoded body.
func NewRecord(id RecordID, kind Kind, at time.Time, by string, body any) (Record, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Record{}, eris.Wrapf(err, "encoding the body of %s record %s", kind, id)
	}
	return Record{ID: id, Kind: kind, Schema: 1, At: at.UTC(), By: by, Body: b}, nil
}

// Encode returns the record as the log keeps it.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrapf(err, "encoding record %s", r.ID)
	}
	if len(b) > MaxRecordBytes {
		return nil, eris.Wrapf(ErrTooLarge, "record %s has %d bytes, more than %d", r.ID, len(b), MaxRecordBytes)
	}
	return b, nil
}

// Decode reads a record. Unknown fields are passed over, so that hosts of two
// releases run side by side.
func Decode(b []byte) (Record, error) {
	var r Record
	if len(b) > MaxRecordBytes {
		return r, eris.Wrapf(ErrTooLarge, "%d bytes are more than %d", len(b), MaxRecordBytes)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, eris.Wrapf(ErrUnreadable, "%s", err)
	}
	if r.ID == "" || r.Kind == "" || r.Schema < 1 {
		return Record{}, eris.Wrap(ErrUnreadable, "ID, Kind or Schema is missing")
	}
	return r, nil
}

// DecodeBody reads the body of a record into a new value of type T.
func DecodeBody[T any](r Record) (T, error) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return body, eris.Wrapf(ErrUnreadable, "body of %s record %s: %s", r.Kind, r.ID, err)
	}
	return body, nil
}
