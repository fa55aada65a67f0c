package journal

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// WindowSize is the number of record IDs that the fold remembers to detect duplicates. A
// record's Before expires it within this window, however fast the stream grows.
const WindowSize = 65_536

// RecentSize is the number of results that the fold keeps for explanations.
const RecentSize = 256

// ErrGap means that an entry does not follow the last applied one.
var ErrGap = eris.New("gap in the stream")

// ErrExpired rejects a record whose offset is not below its Before.
var ErrExpired = eris.New("record expired")

// ErrStaleEpoch rejects a record of a former holder of a duty.
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

// Fencer rejects the records of former holders of a duty.
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
	// reducers lists the reducers in the order passed to NewFold.
	reducers      []Reducer
	reducerByKind map[Kind]Reducer
	counts        map[Outcome]int64
	// recent holds the last RecentSize results, oldest first.
	recent []Result
}

// NewStateMachine returns a fold at offset 0 with the reducers. The fencer may be nil.
func NewStateMachine(fencer Fencer, reducers ...Reducer) *StateMachine {
	f := &StateMachine{
		fencer:        fencer,
		seen:          NewWindow[idDigest](WindowSize),
		reducers:      reducers,
		reducerByKind: make(map[Kind]Reducer),
		counts:        make(map[Outcome]int64),
	}
	for _, r := range reducers {
		for _, k := range r.Kinds() {
			f.reducerByKind[k] = r
		}
	}
	return f
}

// NextOffset returns the offset of the next record to apply.
func (f *StateMachine) NextOffset() Offset {
	return f.next
}

// Digest returns the digest chained over all applied records and their outcomes.
func (f *StateMachine) Digest() uint64 {
	return f.digest
}

// History returns the digest chained over the records, without outcomes, up to the offset.
// It is known for the last HistorySize offsets up to Next, except for those before the
// offset of a restored snapshot.
func (f *StateMachine) History(o Offset) (digest uint64, known bool) {
	return f.history.digestAt(o)
}

// MatchesHistory reports whether the record is the one that was applied at the offset. It returns
// true if the fold no longer knows.
func (f *StateMachine) MatchesHistory(o Offset, raw []byte) bool {
	before, known := f.history.digestAt(o)
	after, applied := f.history.digestAt(o + 1)
	return !known || !applied || chainDigest(before, o, raw, "") == after
}

// KnownKinds returns a digest of the kinds that this release applies. Digests are comparable
// only between hosts with equal KnownKinds.
func (f *StateMachine) KnownKinds() uint32 {
	d := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(f.reducerByKind)) {
		_, _ = d.WriteString(string(k) + "\x00")
	}
	return uint32(d.Sum64())
}

// Counts returns the number of applied records by outcome.
func (f *StateMachine) Counts() map[Outcome]int64 {
	c := make(map[Outcome]int64, len(f.counts))
	for k, n := range f.counts {
		c[k] = n
	}
	return c
}

// Recent returns the last results, oldest first.
func (f *StateMachine) Recent() []Result {
	return append([]Result(nil), f.recent...)
}

// Apply applies the encoded record at the offset. An offset other than Next is an error and
// changes nothing; every other record has an outcome.
func (f *StateMachine) Apply(offset Offset, raw []byte) (Result, error) {
	if offset != f.next {
		return Result{}, eris.Wrapf(ErrGap, "have applied up to %d, got %d", f.next, offset)
	}
	r, err := Decode(raw)
	v := Result{Offset: offset, ID: r.ID, Kind: r.Kind, By: r.By}
	v.Outcome, v.Reason = f.evaluate(Entry{Offset: offset, Record: r}, err)
	f.next++
	f.counts[v.Outcome]++
	f.updateDigests(v, raw)
	f.addRecent(v)
	return v, nil
}

func (f *StateMachine) evaluate(e Entry, err error) (Outcome, string) {
	if err != nil {
		return Unreadable, err.Error()
	}
	if f.seen.Contains(e.Record.ID.digest()) {
		return Duplicate, "the same record was applied before"
	}
	f.seen.Add(e.Record.ID.digest())
	if b := e.Record.Before; b > 0 && e.Offset >= b {
		return Rejected, eris.Wrapf(ErrExpired, "valid before %d", b).Error()
	}
	r, ok := f.reducerByKind[e.Record.Kind]
	if !ok {
		return Unknown, "this release does not know the kind"
	}
	if f.fencer != nil {
		if err := f.fencer.Fence(e.Record); err != nil {
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

func (f *StateMachine) updateDigests(v Result, raw []byte) {
	f.digest = chainDigest(f.digest, v.Offset, raw, v.Outcome)
	f.history.add(v.Offset, raw)
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

func (f *StateMachine) addRecent(v Result) {
	if len(f.recent) == RecentSize {
		f.recent = append(f.recent[:0], f.recent[1:]...)
	}
	f.recent = append(f.recent, v)
}
