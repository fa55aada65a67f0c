// Package bill adds up what each owner used of the shared fleet. Everything is
// counted in integers, so that sums are exact, and a digest chain over the
// records lets either owner find any change.
package bill

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Kinds of the records of a data centre's usage stream.
const (
	KindTransfer   journal.Kind = "Usage.Transfer"
	KindReport     journal.Kind = "Usage.Report"
	KindCorrection journal.Kind = "Usage.Correction"
	KindSeal       journal.Kind = "Usage.Seal"
)

// Errors of folding usage records.
var (
	ErrFenced     = eris.New("only the holder of the duty writes this record")
	ErrTampered   = eris.New("the records differ from those that were sealed")
	ErrCorrection = eris.New("not a correction")
	ErrPeriod     = eris.New("the period can't be closed at this moment")
)

// Moment is a time in milliseconds since the start of 1970.
type Moment int64

// MomentOf returns the moment of a time.
func MomentOf(t time.Time) Moment {
	return Moment(t.UnixMilli())
}

// Time returns the moment as a time.
func (m Moment) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// HostTime counts milliseconds of whole hosts.
type HostTime int64

// CoreTime counts thousandths of a core times milliseconds. A month of 8,600
// hosts with 64 cores is a sixth of the largest value.
type CoreTime int64

// capacity returns the core time of so many cores in a span.
func capacity(c inventory.Cores, span Moment) CoreTime {
	return CoreTime(int64(c) * int64(span))
}

// Transfer says to which owner's pool a host belongs from a moment on. It ends
// the interval before at the same moment, so that there is no gap and no overlap.
type Transfer struct {
	Host inventory.HostID
	// Owner and Pool are empty if the host leaves the data centre.
	Owner inventory.OwnerID `json:",omitempty"`
	Pool  inventory.PoolID  `json:",omitempty"`
	Cores inventory.Cores   `json:",omitempty"`
	At    Moment
}

// Transfers is the body of a transfer record.
type Transfers struct {
	// Version is the offset in the global stream at which they were decided.
	Version   int64
	Transfers []Transfer
}

// Report is what a worker's tasks used since its restart, up to a moment. A
// repeated one changes nothing; a missing one is made up for by the next.
type Report struct {
	Worker inventory.WorkerID
	Boot   int
	At     Moment
	Used   CoreTime
}

// Reports is the body of a report record.
type Reports struct {
	Reports []Report
}

// Use says whether core time was used or idle.
type Use string

// The uses of core time.
const (
	Used Use = "Used"
	Idle Use = "Idle"
)

// Account is what core time is counted for.
type Account struct {
	Owner inventory.OwnerID
	Pool  inventory.PoolID
	Use   Use
}

// Correction moves core time from one account to another. Nothing that was
// recorded before changes, and neither does the sum.
type Correction struct {
	From, To Account
	// Amount is above 0.
	Amount CoreTime
	Reason string
}

// Seal states the digest chain at an offset, and may close the period.
type Seal struct {
	// Offset is that of the last record of the chain and Chain its digest.
	Offset journal.Offset
	Chain  Digest
	// Close ends the period at a moment, unless it is 0.
	Close Moment `json:",omitempty"`
}
