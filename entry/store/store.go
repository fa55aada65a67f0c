// Package store is what an entry host needs of the platform's log: streams of keyed
// records in one order each, conditional and fenced appends, and the newest record
// of each key.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the store.
var (
	// ErrUnavailable says that nothing was done.
	ErrUnavailable = eris.New("the store is not available")
	// ErrUnknown says that there was no answer: the append may be done, also later.
	ErrUnknown = eris.New("the store gave no answer")
	// ErrConflict says that the stream doesn't end where the append expects.
	ErrConflict = eris.New("the stream ends elsewhere")
	// ErrFenced says that a producer with a higher epoch has appended.
	ErrFenced = eris.New("fenced by a higher epoch")
	// ErrSequence says that the append doesn't follow the producer's last one.
	ErrSequence = eris.New("out of sequence")
	// ErrTrimmed says that the records asked for are gone.
	ErrTrimmed = eris.New("the records are gone")
	// ErrRefused says that the store understood the call and won't do it.
	ErrRefused = eris.New("the store refused the call")
)

// Stream names a stream.
type Stream string

// Streams of the product and of the platform.
const (
	// Work holds accepted jobs, cancellations and the changes of owners between them.
	Work Stream = "Work"
	// Progress is written by the owner only.
	Progress Stream = "Progress"
	// Leader holds claims and signs of life of the owner.
	Leader Stream = "Owner"
	// Operator holds what operators publish.
	Operator Stream = "Operator"
	// Workers holds what workers register of themselves.
	Workers Stream = "Workers"
	// Status holds what operators are told.
	Status Stream = "Status"
)

// Record is a key's value. An empty value drops the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's place in its stream, set when it was read.
	Offset int64
	// Err is set for a record that can't be read; Key and Value are then empty.
	Err error `json:"-"`
}

// Fence orders the appends of a producer and shuts out earlier ones.
type Fence struct {
	Producer string
	Epoch    int64
	Seq      int64
}

// Append adds records, all or none.
type Append struct {
	Stream  Stream
	Records []Record
	// At is where the stream must end, or nil.
	At *int64
	// Fence is nil for appends of any producer. With a fence and no records, only
	// the epoch is set.
	Fence *Fence
}

// Appended is the answer to an append. After ErrConflict and ErrSequence, End and
// Seq tell what the store expects.
type Appended struct {
	Offset int64
	End    int64
	Seq    int64
}

// Page is what was read of a stream.
type Page struct {
	Records []Record
	// Next is the offset after the last record read.
	Next int64
}

// Store is the platform's log.
type Store interface {
	Append(ctx context.Context, a Append) (Appended, error)
	// Read waits for a record at or after from for at most wait.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key, and as Next an offset from which
	// reading on misses nothing.
	Newest(ctx context.Context, s Stream) (Page, error)
}
