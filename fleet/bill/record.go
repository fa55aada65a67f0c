// Package bill accounts for each owner's use of the shared fleet. All amounts are
// integers, so that sums are exact, and a digest chain over the records lets either owner
// detect any change to them.
package bill

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Kinds of records in the usage stream of a data centre.
const (
	KindTransfer   journal.Kind = "Usage.Transfer"
	KindReport     journal.Kind = "Usage.Report"
	KindCorrection journal.Kind = "Usage.Correction"
	KindSeal       journal.Kind = "Usage.Seal"
)

// Errors that reject usage records.
var (
	ErrFenced     = eris.New("only the holder of the duty writes this record")
	ErrTampered   = eris.New("the records differ from those that were sealed")
	ErrCorrection = eris.New("not a correction")
	ErrPeriod     = eris.New("the period can't be closed at this moment")
)

// Moment is a time in milliseconds since the Unix epoch.
type Moment int64

// MomentOf returns the moment of a time.
func MomentOf(t time.Time) Moment {
	return Moment(t.UnixMilli())
}

// Time returns the moment as a time.
func (m Moment) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// HostTime is an amount of host time in milliseconds.
type HostTime int64

// CoreTime is an amount of core time in thousandths of a core times milliseconds. A month
// of 8,600 hosts with 64 cores is a sixth of the largest value.
type CoreTime int64

// capacity returns the core time of a number of cores in a span.
func capacity(c inventory.Millicores, span Moment) CoreTime {
	return CoreTime(int64(c) * int64(span))
}

// Transfer assigns a host to a pool of an owner from a time on. It ends the previous
// interval at the same time, so that there is no gap and no overlap.
type Transfer struct {
	Host inventory.HostID
	// Owner and Pool are empty if the host leaves the data centre.
	Owner inventory.OwnerID    `json:",omitempty"`
	Pool  inventory.PoolID     `json:",omitempty"`
	Cores inventory.Millicores `json:",omitempty"`
	At    Moment
}

// Transfers is the body of a transfer record.
type Transfers struct {
	// Version is the offset in the global stream at which the transfers were decided.
	Version   int64
	Transfers []Transfer
}

// Report is the core time that the tasks of a worker used from its restart to a time.
// The counter is cumulative: a repeated report changes nothing, and the next report
// covers a missing one.
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

// Use is the use of core time: used or idle.
type Use string

// The uses of core time.
const (
	Used Use = "Used"
	Idle Use = "Idle"
)

// Account identifies the pool and the use for which core time is counted.
type Account struct {
	Owner inventory.OwnerID
	Pool  inventory.PoolID
	Use   Use
}

// Correction moves core time from one account to another. It changes neither earlier
// records nor the sum of the statement.
type Correction struct {
	From, To Account
	// Amount is greater than 0.
	Amount CoreTime
	Reason string
}

// Seal records the digest of the chain at an offset and may close the period.
type Seal struct {
	// Offset is the offset of the last record of the chain, and Chain its digest.
	Offset journal.Offset
	Chain  Digest
	// Close is the end of the period, or 0 if the seal doesn't close it.
	Close Moment `json:",omitempty"`
}
