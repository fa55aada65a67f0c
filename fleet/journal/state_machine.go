package journal

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// WindowSize is the number of record IDs that the state machine remembers to detect
// duplicates. A record's Before expires it within this window, however fast the stream
// grows.
const WindowSize = 65_536

// RecentSize is the number of results that the state machine keeps for explanations.
const RecentSize = 256

// ErrGap means that an entry does not follow the last applied one.
var ErrGap = eris.New("gap in the stream")

// ErrExpired rejects a record whose offset is not below its Before.
var ErrExpired = eris.New("record expired")

// ErrStaleEpoch rejects a record of a previous holder of a duty.
var ErrStaleEpoch = eris.New("stale epoch")

// Outcome is the outcome of applying a record.
type Outcome string

// The outcomes of applying a record.
const (
	Accepted   Outcome = "Accepted"
	Duplicate  Outcome = "Duplicate"
	Rejected   Outcome = "Rejected"
	Unknown    Outcome = "Unknown"
	Unreadable Outcome = "Unreadable"
)

// Result is the result of applying a record. It depends only on this record and the ones
// before it.
type Result struct {
	Offset  Offset
	ID      RecordID
	Kind    Kind
	By      string `json:",omitempty"`
	Outcome Outcome
	// Reason is set for every outcome other than Accepted.
	Reason string `json:",omitempty"`
}

// Reducer applies the records of some kinds to a part of the state.
type Reducer interface {
	// Kinds returns the kinds that the reducer applies. Each kind has one reducer.
	Kinds() []Kind
	// Reduce applies a record. If it rejects the record, it returns the reason and leaves
	// the state unchanged. It must be deterministic: no clock and no random source.
	Reduce(e Entry) error
	// MarshalState returns the encoded state. Equal states have equal encodings.
	MarshalState() ([]byte, error)
	// UnmarshalState replaces the state by an encoded one.
	UnmarshalState(b []byte) error
}

// Fencer rejects the records of previous holders of a duty.
type Fencer interface {
	Fence(r Record) error
}

// StateMachine applies the records of one stream, in order, to the state of its reducers.
type StateMachine struct {
	fencer Fencer

	// next is the offset of the next record to apply.
	next Offset
	// digest is chained over every applied record and its outcome. Two hosts at the same
	// offset have the same digest exactly if they applied the same records with the same
	// outcomes.
	digest uint64
	// history is chained over the records without outcomes, so that hosts of different
	// releases agree on it.
	history digestHistory
	seen    *Window[idDigest]
	// reducers lists the reducers in the order passed to NewStateMachine.
	reducers      []Reducer
	reducerByKind map[Kind]Reducer
	counts        map[Outcome]int64
	// recent holds the last RecentSize results, oldest first.
	recent []Result
}

// NewStateMachine returns a state machine at offset 0 with the reducers. The fencer may
// be nil.
func NewStateMachine(fencer Fencer, reducers ...Reducer) *StateMachine {
	m := &StateMachine{
		fencer:        fencer,
		seen:          NewWindow[idDigest](WindowSize),
		reducers:      reducers,
		reducerByKind: make(map[Kind]Reducer),
		counts:        make(map[Outcome]int64),
	}
	for _, r := range reducers {
		for _, k := range r.Kinds() {
			m.reducerByKind[k] = r
		}
	}
	return m
}

// NextOffset returns the offset of the next record to apply.
func (m *StateMachine) NextOffset() Offset {
	return m.next
}

// Digest returns the digest chained over all applied records and their outcomes.
func (m *StateMachine) Digest() uint64 {
	return m.digest
}

// History returns the digest chained over the records, without outcomes, up to the
// offset. It is known for the last HistorySize offsets up to NextOffset, except for those
// before the offset of a restored snapshot.
func (m *StateMachine) History(o Offset) (digest uint64, known bool) {
	return m.history.digestAt(o)
}

// MatchesHistory reports whether the record is the one that was applied at the offset. It
// returns true if the history no longer holds the offset.
func (m *StateMachine) MatchesHistory(o Offset, raw []byte) bool {
	before, known := m.history.digestAt(o)
	after, applied := m.history.digestAt(o + 1)
	return !known || !applied || chainDigest(before, o, raw, "") == after
}

// KnownKinds returns a digest of the kinds that this release applies. Digests are
// comparable only between hosts with equal KnownKinds.
func (m *StateMachine) KnownKinds() uint32 {
	d := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(m.reducerByKind)) {
		_, _ = d.WriteString(string(k) + "\x00")
	}
	return uint32(d.Sum64())
}

// Counts returns the number of applied records by outcome.
func (m *StateMachine) Counts() map[Outcome]int64 {
	c := make(map[Outcome]int64, len(m.counts))
	for k, n := range m.counts {
		c[k] = n
	}
	return c
}

// Recent returns the last results, oldest first.
func (m *StateMachine) Recent() []Result {
	return append([]Result(nil), m.recent...)
}

// Apply applies the encoded record at the offset. An offset other than NextOffset is an
// error and changes nothing; every other record has an outcome.
func (m *StateMachine) Apply(offset Offset, raw []byte) (Result, error) {
	if offset != m.next {
		return Result{}, eris.Wrapf(ErrGap, "have applied up to %d, got %d", m.next, offset)
	}
	r, err := Decode(raw)
	result := Result{Offset: offset, ID: r.ID, Kind: r.Kind, By: r.By}
	result.Outcome, result.Reason = m.evaluate(Entry{Offset: offset, Record: r}, err)
	m.next++
	m.counts[result.Outcome]++
	m.updateDigests(result, raw)
	m.addRecent(result)
	return result, nil
}

func (m *StateMachine) evaluate(e Entry, err error) (Outcome, string) {
	if err != nil {
		return Unreadable, err.Error()
	}
	if m.seen.Contains(e.Record.ID.digest()) {
		return Duplicate, "the same record was applied before"
	}
	m.seen.Add(e.Record.ID.digest())
	if b := e.Record.Before; b > 0 && e.Offset >= b {
		return Rejected, eris.Wrapf(ErrExpired, "valid before %d", b).Error()
	}
	r, ok := m.reducerByKind[e.Record.Kind]
	if !ok {
		return Unknown, "this release does not know the kind"
	}
	if m.fencer != nil {
		if err := m.fencer.Fence(e.Record); err != nil {
			return Rejected, err.Error()
		}
	}
	err = r.Reduce(e)
	if errors.Is(err, ErrUnreadable) {
		return Unreadable, err.Error()
	}
	if err != nil {
		return Rejected, err.Error()
	}
	return Accepted, ""
}

func (m *StateMachine) updateDigests(result Result, raw []byte) {
	m.digest = chainDigest(m.digest, result.Offset, raw, result.Outcome)
	m.history.add(result.Offset, raw)
}

// chainDigest extends a chained digest by one record and its outcome.
func chainDigest(before uint64, o Offset, raw []byte, outcome Outcome) uint64 {
	var head [16]byte
	binary.BigEndian.PutUint64(head[:8], before)
	binary.BigEndian.PutUint64(head[8:], uint64(o))
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(raw)
	_, _ = d.WriteString(string(outcome))
	return d.Sum64()
}

func (m *StateMachine) addRecent(result Result) {
	if len(m.recent) == RecentSize {
		m.recent = append(m.recent[:0], m.recent[1:]...)
	}
	m.recent = append(m.recent, result)
}
