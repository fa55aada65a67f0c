// Package journal defines the records that the platform's log stores, and the state
// machine that applies them in the order of their offsets, so that every host computes
// the same state.
package journal

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// MaxRecordBytes is the maximum size of an encoded record.
const MaxRecordBytes = 16 << 20

// Errors of encoding and decoding records.
var (
	ErrUnreadable = eris.New("unreadable record")
	ErrTooLarge   = eris.New("record too large")
)

// StreamID is the name of a stream in the log.
type StreamID string

// StreamFleet is the global stream of configuration, ownership of hosts, grants, waves and
// global duties. A single stream puts all of them in one order.
const StreamFleet StreamID = "Fleet"

// StreamJobs returns the stream of the jobs of a data centre.
func StreamJobs(dc inventory.DataCentreID) StreamID {
	return StreamID("Jobs." + string(dc))
}

// StreamUsage returns the stream of the usage reports of a data centre.
func StreamUsage(dc inventory.DataCentreID) StreamID {
	return StreamID("Usage." + string(dc))
}

// Offset is the position of a record in its stream, starting at 0.
type Offset int64

// RecordID is unique to one decision. A record that is appended again, because the first
// append had an uncertain result, keeps its ID.
type RecordID string

// idDigest is a digest of a RecordID. Its fixed size bounds the memory for remembered IDs.
type idDigest [16]byte

func (id RecordID) digest() idDigest {
	sum := sha256.Sum256([]byte(id))
	return idDigest(sum[:16])
}

// Kind is the type of a record's body.
type Kind string

// Epoch is a fencing token of a duty: a record with an older epoch is rejected.
type Epoch int64

// Record is an entry of a stream without its offset.
type Record struct {
	ID   RecordID
	Kind Kind
	// Schema is the version of the body's schema, starting at 1.
	Schema int
	// Duty and Epoch fence the record. They are empty for records that belong to no duty.
	Duty  string `json:",omitempty"`
	Epoch Epoch  `json:",omitempty"`
	// Before is the first offset at which the record is rejected as expired; 0 means
	// never. The writer sets it to a known end of the stream plus WindowSize, so that the
	// state machine still remembers the ID when a repeat arrives.
	Before Offset `json:",omitempty"`
	// At is the time by the writer's clock. It is for display and billing only; it does
	// not order records.
	At time.Time
	// By is the operator who caused the record or the entry host that wrote it.
	By   string
	Body json.RawMessage
}

// Entry is a record with its offset.
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

// Encode returns the record in the form stored in the log.
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

// Decode decodes a record. It ignores unknown fields, so that hosts of different releases
// can run side by side.
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

// DecodeBody decodes the body of a record as a T.
func DecodeBody[T any](r Record) (T, error) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return body, eris.Wrapf(ErrUnreadable, "body of %s record %s: %s", r.Kind, r.ID, err)
	}
	return body, nil
}
