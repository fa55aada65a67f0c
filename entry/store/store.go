// Package store is the interface to the platform's log: ordered streams of keyed records,
// conditional and fenced appends, and the newest record of each key. It also coalesces and
// hedges appends.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the store. The texts of ErrUnavailable, ErrUnknown and ErrRefused reach
// callers.
var (
	// ErrUnavailable means that the call had no effect and may be retried.
	ErrUnavailable = eris.New("the store is not available")
	// ErrBusy is an ErrUnavailable for an append that the store has rejected: the stream's queue is
	// full, or the store turns this host away.
	ErrBusy = eris.Wrap(ErrUnavailable, "the store is busy")
	// ErrUnknown means that there was no answer: the append may take effect, even later.
	ErrUnknown = eris.New("the store gave no answer")
	// ErrConflict means that the stream does not end where the append expects.
	ErrConflict = eris.New("the stream does not end at the expected offset")
	// ErrFenced means that a producer with a higher epoch has appended. The leader reports
	// it as leader.ErrFenced, whose text is for callers.
	ErrFenced = eris.New("fenced by a higher epoch")
	// ErrSequence means that the append does not follow the producer's previous one.
	ErrSequence = eris.New("out of sequence")
	// ErrTrimmed means that the requested records were removed from the stream.
	ErrTrimmed = eris.New("the records were trimmed")
	// ErrRefused means that the store rejects the call; a retry is rejected as well.
	ErrRefused = eris.New("the store refused the call")
)

// Stream names a stream.
type Stream string

// Streams that entry hosts read or write.
const (
	// Work holds accepted jobs and cancellations, and a record for each change of leader.
	Work Stream = "Work"
	// Progress holds the state of jobs and is written by the leader only.
	Progress Stream = "Progress"
	// Leader holds leadership claims and the leader's heartbeats. The name Owner is sent to
	// peers and stays.
	Leader Stream = "Owner"
	// Operator holds configurations and maintenance waves that operators publish.
	Operator Stream = "Operator"
	// Workers holds the registrations of workers.
	Workers Stream = "Workers"
	// Status holds the status of maintenance waves, for operators.
	Status Stream = "Status"
)

// Record is a key and its value. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's position in its stream. It is set on reads.
	Offset int64
	// Err is set if the record can't be decoded; Key and Value may then be empty.
	Err error `json:"-"`
}

// Fence orders the appends of a producer by Seq and rejects those of lower epochs.
type Fence struct {
	Producer string
	Epoch    int64
	Seq      int64
}

// Append adds records to a stream, all or none.
type Append struct {
	Stream  Stream
	Records []Record
	// At is the offset at which the stream must end, or nil for any.
	At *int64
	// Fence is nil for appends that need no order. A fence without records only sets
	// the producer's epoch, so that a new leader can fence earlier ones before it loads.
	// It takes no sequence number: the first records after it have Seq 0.
	Fence *Fence
}

// Appended is the answer to an append. After ErrConflict, End is the stream's end; after
// ErrSequence, Seq is the sequence number that the store expects.
type Appended struct {
	Offset int64
	End    int64
	Seq    int64
}

// Page holds records read from a stream.
type Page struct {
	Records []Record
	// Next is the offset from which to read on.
	Next int64
	// End is the stream's end when the page was read, or 0 if the store didn't say.
	End int64 `json:",omitempty"`
	// Waited is how long the store had waited when it answered without a record; 0 if that
	// isn't known.
	Waited time.Duration `json:",omitempty"`
	// More is set on a page of the newest records if there are further keys after its last one.
	More bool `json:",omitempty"`
}

// ReachesEnd reports whether the stream had no records after the page when it was read.
func (p Page) ReachesEnd() bool {
	if p.End > 0 {
		return p.Next >= p.End
	}
	return len(p.Records) == 0
}

// Store is the platform's log.
type Store interface {
	Append(ctx context.Context, a Append) (Appended, error)
	// Read returns the records at or after from. It waits for the first at most wait.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Newest returns a page of the newest record of each key, of those after a key. No record of these keys
	// that is written later is missed by reading on from Next. ReadNewest reads all pages.
	Newest(ctx context.Context, s Stream, after string) (Page, error)
}

// ReadNewest reads the newest record of each key, page by page. Next is the stream's end as of the first page, so that
// reading on misses no record written while later pages are read. A page that fails is read again, and the pages
// before it are kept, if retry returns true; it may be nil.
func ReadNewest(ctx context.Context, s Store, stream Stream, retry func(err error) bool) (Page, error) {
	var all Page
	for after, isFirst := "", true; ; isFirst = false {
		page, err := s.Newest(ctx, stream, after)
		for err != nil && retry != nil && retry(err) {
			page, err = s.Newest(ctx, stream, after)
		}
		if err != nil {
			return all, err
		}
		if isFirst {
			all.Next, all.End = page.Next, page.End
		}
		all.Records = append(all.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return all, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// onBytesKey is the context key of the function that WithOnBytes sets.
type onBytesKey struct{}

// WithOnBytes returns a context for reads that call onBytes with the number of bytes of an answer each time some
// have arrived.
func WithOnBytes(ctx context.Context, onBytes func(n int)) context.Context {
	return context.WithValue(ctx, onBytesKey{}, onBytes)
}

// OnBytes returns the function that WithOnBytes has set, or nil.
func OnBytes(ctx context.Context) func(n int) {
	f, _ := ctx.Value(onBytesKey{}).(func(n int))
	return f
}
