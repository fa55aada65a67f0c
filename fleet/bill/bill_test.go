package bill

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

const duty = "Usage"

// init fixes the random seed, so that every run uses the same sequences.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// hostCores is the number of cores, in thousandths, of each host in the tests.
const hostCores = inventory.Millicores(64_000)

// stream applies the records of a usage stream and keeps their encoded form.
type stream struct {
	t            require.TestingT
	stateMachine *journal.StateMachine
	bill         *Reducer
	records      []json.RawMessage
}

func newStream(t require.TestingT) *stream {
	s := &stream{t: t, bill: NewReducer()}
	leases := lease.NewReducer()
	s.stateMachine = journal.NewStateMachine(leases, s.bill, leases)
	s.record(lease.KindClaim, 0, lease.Claim{Duty: duty, Holder: "e1"})
	return s
}

func (s *stream) record(kind journal.Kind, epoch journal.Epoch, body any) journal.Result {
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", len(s.records))), kind, time.Unix(0, 0), "e1", body)
	require.NoError(s.t, err)
	if epoch > 0 {
		r.Duty, r.Epoch = duty, epoch
	}
	raw, err := r.Encode()
	require.NoError(s.t, err)
	s.records = append(s.records, raw)
	result, err := s.stateMachine.Apply(s.stateMachine.NextOffset(), raw)
	require.NoError(s.t, err)
	return result
}

func (s *stream) transferHost(host inventory.HostID, owner inventory.OwnerID, at Moment) {
	s.record(KindTransfer, 1, Transfers{Transfers: []Transfer{{Host: host, Owner: owner, Pool: inventory.PoolID(owner + "-pool"), Cores: hostCores, At: at}}})
}

func (s *stream) reportUsage(host inventory.HostID, at Moment, used CoreTime) {
	s.record(KindReport, 1, Reports{Reports: []Report{{Worker: host.Worker(), At: at, Used: used}}})
}

// sealPeriod seals the chain, and closes the period unless to is 0.
func (s *stream) sealPeriod(to Moment) journal.Result {
	l := s.bill.Chain()
	return s.record(KindSeal, 1, Seal{Offset: l.Offset, Chain: l.Digest, Close: to})
}

// share returns the share of one owner in the open period.
func (s *stream) share(owner inventory.OwnerID, to Moment) Share {
	for _, l := range ByOwner(s.bill.Statement(to).Lines) {
		if l.Owner == owner {
			return l.Share
		}
	}
	return Share{}
}

func TestUsageDoesNotDependOnReportOrder(t *testing.T) {
	// The counter rises by 10 per millisecond, and a report is due every 100 ms.
	const due = 100
	times := func(n int) []Moment {
		var all []Moment
		for i := range n {
			all = append(all, Moment(i*due))
		}
		return all
	}
	reversed := times(8)
	slices.Reverse(reversed[1:])
	for name, arrivals := range map[string][]Moment{
		"in order":                         times(8),
		"each twice":                       slices.Concat(times(8), times(8)),
		"in reverse order":                 reversed,
		"most are missing":                 {0, 700},
		"eight reports in order":           times(8)[:8:8],
		"one between earlier reports last": slices.Concat(times(8), []Moment{50}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStream(t)
			s.transferHost("h", "Corchos", 0)
			s.transferHost("h", "Campanella", 350)
			for _, at := range arrivals {
				s.reportUsage("h", at, CoreTime(at*10))
			}
			require.Equal(t, Share{HostTime: 350, Capacity: 350 * 64_000, Used: 3500, Idle: 350*64_000 - 3500}, s.share("Corchos", 700))
			require.Equal(t, Share{HostTime: 350, Capacity: 350 * 64_000, Used: 3500, Idle: 350*64_000 - 3500}, s.share("Campanella", 700))
		})
	}
}

func TestImpossibleReportsAreRefusedAndListed(t *testing.T) {
	for name, bad := range map[string]Report{
		"the counter fell":                             {At: 2000, Used: 10},
		"more than the host has":                       {At: 2000, Used: 64_000 * 10_000},
		"another value for the same moment":            {At: 1000, Used: 51},
		"a restart at a time that was already counted": {Boot: 1, At: 900, Used: 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStream(t)
			s.transferHost("h", "Corchos", 0)
			s.reportUsage("h", 0, 0)
			s.reportUsage("h", 1000, 50)
			bad.Worker = "h"
			s.record(KindReport, 1, Reports{Reports: []Report{bad}})
			require.Equal(t, CoreTime(50), s.share("Corchos", 3000).Used)
			shown, n := s.bill.Refusals()
			require.Len(t, shown, 1)
			require.EqualValues(t, 1, n)
		})
	}
}

func TestUsageContinuesAfterCounterRestart(t *testing.T) {
	s := newStream(t)
	s.transferHost("h", "Corchos", 0)
	s.reportUsage("h", 0, 500)
	s.reportUsage("h", 1000, 900)
	s.record(KindReport, 1, Reports{Reports: []Report{{Worker: "h", Boot: 1, At: 2000, Used: 30}}})
	require.Equal(t, CoreTime(430), s.share("Corchos", 2000).Used)
}

func TestClosedPeriodIsImmutable(t *testing.T) {
	s := newStream(t)
	s.transferHost("h", "Corchos", 0)
	s.reportUsage("h", 0, 0)
	s.reportUsage("h", 500, 5000)
	require.Equal(t, journal.Accepted, s.sealPeriod(1000).Outcome)
	closed := s.bill.Statements()
	require.Equal(t, Share{HostTime: 1000, Capacity: 64_000_000, Used: 5000, Idle: 64_000_000 - 5000}, closed[0].Lines[0].Share)
	t.Run("late use is listed separately in the next period", func(t *testing.T) {
		s.reportUsage("h", 1500, 15_000)
		require.Equal(t, Share{HostTime: 500, Capacity: 32_000_000, Used: 5000, Idle: 32_000_000 - 5000, Late: 5000}, s.share("Corchos", 1500))
	})
	t.Run("a correction moves core time and keeps the sum", func(t *testing.T) {
		before := Sum(s.bill.Statement(1500).Lines)
		a, b := Account{"Corchos", "Corchos-pool", Used}, Account{"Campanella", "Campanella-pool", Used}
		require.Equal(t, journal.Accepted, s.record(KindCorrection, 0, Correction{From: a, To: b, Amount: 7, Reason: "a wrong label"}).Outcome)
		require.Equal(t, journal.Rejected, s.record(KindCorrection, 0, Correction{From: a, To: b, Amount: -7, Reason: "a wrong label"}).Outcome)
		require.Equal(t, before, Sum(s.bill.Statement(1500).Lines))
		require.Equal(t, CoreTime(7), s.share("Campanella", 1500).Used)
	})
	t.Run("a period cannot be closed twice", func(t *testing.T) {
		require.Equal(t, journal.Rejected, s.sealPeriod(900).Outcome)
	})
	require.Equal(t, closed, s.bill.Statements())
}

func TestSupersededHolderChangesNothing(t *testing.T) {
	s := newStream(t)
	s.transferHost("h", "Corchos", 0)
	s.record(lease.KindClaim, 0, lease.Claim{Duty: duty, Holder: "e2", From: 1})
	before := s.bill.Chain()
	require.Equal(t, journal.Rejected, s.record(KindTransfer, 1, Transfers{Transfers: []Transfer{{Host: "h", Owner: "Campanella", Pool: "p", Cores: hostCores, At: 5}}}).Outcome)
	require.Equal(t, journal.Rejected, s.record(KindTransfer, 0, Transfers{Transfers: []Transfer{{Host: "h", Owner: "Campanella", Pool: "p", Cores: hostCores, At: 5}}}).Outcome)
	require.Equal(t, before, s.bill.Chain())
	require.Equal(t, HostTime(10), s.share("Corchos", 10).HostTime)
}

func TestAuditDetectsEveryRecordChange(t *testing.T) {
	s := newStream(t)
	s.transferHost("h", "Corchos", 0)
	for i := range 10 {
		s.reportUsage("h", Moment(i*100), CoreTime(i*1000))
	}
	s.sealPeriod(0)
	s.reportUsage("h", 1000, 10_000)
	statement := s.bill.Statement(1000)
	audit := func(raw []json.RawMessage) error {
		a := NewAudit()
		if err := a.Add(0, raw); err != nil {
			return err
		}
		return a.CheckStatement(statement)
	}
	require.NoError(t, audit(s.records))
	at := 4
	changed := []byte(string(s.records[at]))
	i := slices.Index(changed, 'U')
	copy(changed[i:], []byte("V"))
	var r journal.Record
	require.NoError(t, json.Unmarshal(s.records[at], &r))
	r.By = "somebody else"
	other, err := r.Encode()
	require.NoError(t, err)
	for name, raw := range map[string][]json.RawMessage{
		"another writer":         slices.Concat(s.records[:at], []json.RawMessage{other}, s.records[at+1:]),
		"a changed byte":         slices.Concat(s.records[:at], []json.RawMessage{changed}, s.records[at+1:]),
		"deleted":                slices.Concat(s.records[:at], s.records[at+1:]),
		"inserted":               slices.Concat(s.records[:at], s.records[at:at+1], s.records[at:]),
		"swapped":                slices.Concat(s.records[:at], s.records[at+1:at+2], s.records[at:at+1], s.records[at+2:]),
		"truncated at the end":   s.records[:len(s.records)-1],
		"changed after the seal": slices.Concat(s.records[:len(s.records)-1], []json.RawMessage{other}),
		"all records missing":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, audit(raw))
		})
	}
	t.Run("a statement that was changed", func(t *testing.T) {
		wrong := statement
		wrong.Lines = slices.Clone(statement.Lines)
		wrong.Lines[0].Used++
		a := NewAudit()
		require.NoError(t, a.Add(0, s.records))
		require.ErrorIs(t, a.CheckStatement(wrong), ErrMismatch)
	})
}

// simulatedHost is a host with a simulated core time counter.
type simulatedHost struct {
	counter, firstReported CoreTime
	// start is when the host was first assigned to a pool.
	start          Moment
	pendingReports []Report
	// reported is whether a report of the host was counted.
	reported bool
}

func TestHostTimeIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream(t)
		now := Moment(1000)
		owners := []inventory.OwnerID{"Corchos", "Campanella"}
		hosts := make(map[inventory.HostID]*simulatedHost)
		names := []inventory.HostID{"h1", "h2", "h3"}
		for _, id := range names {
			hosts[id] = &simulatedHost{start: now}
			s.transferHost(id, owners[0], now)
		}
		run := func(t *rapid.T) {
			span := Moment(rapid.IntRange(1, 100_000).Draw(t, "span"))
			now += span
			for _, id := range names {
				w := hosts[id]
				w.counter += CoreTime(rapid.Int64Range(0, int64(capacity(hostCores, span))).Draw(t, "used"))
				w.pendingReports = append(w.pendingReports, Report{Worker: id.Worker(), At: now, Used: w.counter})
			}
		}
		deliver := func(t *rapid.T) {
			id := rapid.SampledFrom(names).Draw(t, "host")
			w := hosts[id]
			if len(w.pendingReports) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.pendingReports)-1).Draw(t, "report")
			if !w.reported {
				w.reported, w.firstReported = true, w.pendingReports[i].Used
			}
			s.record(KindReport, 1, Reports{Reports: []Report{w.pendingReports[i]}})
			if rapid.Bool().Draw(t, "last") {
				w.pendingReports = slices.Delete(w.pendingReports, i, i+1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":     run,
			"deliver": deliver,
			"transfer": func(t *rapid.T) {
				s.transferHost(rapid.SampledFrom(names).Draw(t, "host"), rapid.SampledFrom(owners).Draw(t, "owner"), max(1000, now-Moment(rapid.Int64Range(0, 200_000).Draw(t, "ago"))))
			},
			"close": func(t *rapid.T) {
				s.sealPeriod(now - Moment(rapid.Int64Range(0, 50_000).Draw(t, "ago")))
			},
			"snapshot": func(t *rapid.T) {
				b, err := s.bill.MarshalState()
				require.NoError(t, err)
				require.NoError(t, s.bill.UnmarshalState(b))
			},
			"": func(t *rapid.T) {
				total := Share{}
				for _, st := range append(s.bill.Statements(), s.bill.Statement(now)) {
					require.NoError(t, CheckSums(st.Lines))
					total = total.add(Sum(st.Lines))
				}
				// The reducer keeps only maxStatements periods, so the total of all
				// periods can't be checked beyond that.
				if len(s.bill.Statements()) == maxStatements {
					t.Skip("earlier periods are forgotten")
				}
				want := HostTime(0)
				for _, w := range hosts {
					want += HostTime(now - w.start)
				}
				require.Equal(t, want, total.HostTime)
				require.Equal(t, capacity(hostCores, Moment(want)), total.Capacity)
				require.Equal(t, s.expectedUsed(), total.Used+total.Late)
				_, refused := s.bill.Refusals()
				require.Zero(t, refused)
			},
		})
		a := NewAudit()
		require.NoError(t, a.Add(0, s.records))
		require.NoError(t, a.CheckStatement(s.bill.Statement(now)))
	})
}

// expectedUsed returns the sum of the counters' increases from each worker's first
// counted report to its latest one, computed from the records alone.
func (s *stream) expectedUsed() CoreTime {
	base, last := make(map[inventory.WorkerID]Report), make(map[inventory.WorkerID]Report)
	for _, raw := range s.records {
		r, err := journal.Decode(raw)
		require.NoError(s.t, err)
		if r.Kind != KindReport {
			continue
		}
		b, err := journal.DecodeBody[Reports](r)
		require.NoError(s.t, err)
		for _, one := range b.Reports {
			if _, ok := base[one.Worker]; !ok {
				base[one.Worker], last[one.Worker] = one, one
			}
			if one.At > last[one.Worker].At {
				last[one.Worker] = one
			}
		}
	}
	sum := CoreTime(0)
	for w := range base {
		sum += last[w].Used - base[w].Used
	}
	return sum
}
