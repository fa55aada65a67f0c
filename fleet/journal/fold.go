package journal

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// WindowSize is how many record identities the fold remembers. A record's
// Before ends its retries within the window, however fast the stream grows.
const WindowSize = 65_536

// RecentSize is how many verdicts the fold keeps for explanations.
const RecentSize = 256

// ErrGap is returned when an entry does not follow the last applied one.
var ErrGap = eris.New("gap in the stream")

// ErrExpired rejects a record at or beyond its Before.
var ErrExpired = eris.New("record expired")

// ErrStaleEpoch rejects a record of a holder whose duty went to another.
var ErrStaleEpoch = eris.New("stale epoch")

// Outcome is what the fold made of a record.
type Outcome string

// The outcomes of folding a record.
const (
	Accepted   Outcome = "Accepted"
	Duplicate  Outcome = "Duplicate"
	Rejected   Outcome = "Rejected"
	Unknown    Outcome = "Unknown"
	Unreadable Outcome = "Unreadable"
)

// Verdict is the fold's decision on one record. It depends on nothing but the
// records up to it.
type Verdict struct {
	Offset  Offset
	ID      RecordID
	Kind    Kind
	By      string `json:",omitempty"`
	Outcome Outcome
	// Reason is set for every outcome other than Accepted.
	Reason string `json:",omitempty"`
}

// Reducer folds the records of some kinds into a part of the state.
type Reducer interface {
	// Kinds returns the kinds that the reducer folds; no other has them.
	Kinds() []Kind
	// Reduce applies one record or returns the reason to reject it and leaves
	// the state as it was. It reads no clock and no random source.
	Reduce(e Entry) error
	// MarshalState returns the state in a form that is equal for equal states.
	MarshalState() ([]byte, error)
	// UnmarshalState replaces the state by a marshalled one.
	UnmarshalState(b []byte) error
}

// Fencer rejects the records of holders whose duty went to another.
type Fencer interface {
	Fence(r Record) error
}

// Fold applies the records of one stream in order.
type Fold struct {
	fencer Fencer

	// next is the offset of the first record that is not applied yet.
	next Offset
	// digest chains every applied record and its verdict, so that two hosts at
	// the same offset have the same digest exactly if they folded the same.
	digest uint64
	// history chains the records alone, so that hosts of two releases agree.
	history trail
	seen    *Window[recordKey]
	// parts are the reducers in the order in which they were given.
	parts    []Reducer
	reducers map[Kind]Reducer
	counts   map[Outcome]int64
	// recent holds the last RecentSize verdicts, oldest first.
	recent []Verdict
}

// NewFold returns a fold at offset 0 over the reducers. The fencer may be nil.
func NewFold(fencer Fencer, reducers ...Reducer) *Fold {
	f := &Fold{
		fencer:   fencer,
		seen:     NewWindow[recordKey](WindowSize),
		parts:    reducers,
		reducers: make(map[Kind]Reducer),
		counts:   make(map[Outcome]int64),
	}
	for _, r := range reducers {
		for _, k := range r.Kinds() {
			f.reducers[k] = r
		}
	}
	return f
}

// Next returns the offset of the first record that is not applied yet.
func (f *Fold) Next() Offset {
	return f.next
}

// Digest returns the chained digest of everything applied.
func (f *Fold) Digest() uint64 {
	return f.digest
}

// History returns the digest of the records alone up to the offset. It is known
// for the last TrailSize offsets up to Next.
func (f *Fold) History(o Offset) (digest uint64, known bool) {
	return f.history.at(o)
}

// Matches reports whether the record is the one that was applied at the offset,
// as far as the fold still knows.
func (f *Fold) Matches(o Offset, raw []byte) bool {
	before, known := f.history.at(o)
	after, applied := f.history.at(o + 1)
	return !known || !applied || chained(before, o, raw, "") == after
}

// KnownKinds returns a digest of the kinds that this release folds. Digest is
// comparable between hosts for which it is equal.
func (f *Fold) KnownKinds() uint32 {
	d := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(f.reducers)) {
		_, _ = d.WriteString(string(k) + "\x00")
	}
	return uint32(d.Sum64())
}

// Counts returns how many records had each outcome.
func (f *Fold) Counts() map[Outcome]int64 {
	c := make(map[Outcome]int64, len(f.counts))
	for k, n := range f.counts {
		c[k] = n
	}
	return c
}

// Recent returns the last verdicts, oldest first.
func (f *Fold) Recent() []Verdict {
	return append([]Verdict(nil), f.recent...)
}

// Apply folds the raw record at the offset. An offset other than Next is an
// error and changes nothing; everything else has a verdict.
func (f *Fold) Apply(offset Offset, raw []byte) (Verdict, error) {
	if offset != f.next {
		return Verdict{}, eris.Wrapf(ErrGap, "have applied up to %d, got %d", f.next, offset)
	}
	r, err := Decode(raw)
	v := Verdict{Offset: offset, ID: r.ID, Kind: r.Kind, By: r.By}
	v.Outcome, v.Reason = f.decide(Entry{Offset: offset, Record: r}, err)
	f.next++
	f.counts[v.Outcome]++
	f.chain(v, raw)
	f.remember(v)
	return v, nil
}

func (f *Fold) decide(e Entry, err error) (Outcome, string) {
	if err != nil {
		return Unreadable, err.Error()
	}
	if f.seen.Contains(e.Record.ID.key()) {
		return Duplicate, "the same record was applied before"
	}
	f.seen.Add(e.Record.ID.key())
	if b := e.Record.Before; b > 0 && e.Offset >= b {
		return Rejected, eris.Wrapf(ErrExpired, "valid before %d", b).Error()
	}
	r, ok := f.reducers[e.Record.Kind]
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

func (f *Fold) chain(v Verdict, raw []byte) {
	f.digest = chained(f.digest, v.Offset, raw, v.Outcome)
	f.history.add(v.Offset, raw)
}

// chained returns the digest of what was digested before and one more record.
func chained(before uint64, o Offset, raw []byte, outcome Outcome) uint64 {
	var head [16]byte
	binary.BigEndian.PutUint64(head[:8], before)
	binary.BigEndian.PutUint64(head[8:], uint64(o))
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(raw)
	_, _ = d.WriteString(string(outcome))
	return d.Sum64()
}

func (f *Fold) remember(v Verdict) {
	if len(f.recent) == RecentSize {
		f.recent = append(f.recent[:0], f.recent[1:]...)
	}
	f.recent = append(f.recent, v)
}
