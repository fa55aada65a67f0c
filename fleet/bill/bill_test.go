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

// init makes the random sequences the same in every run.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// cores is the size of every host of the tests.
const cores = inventory.Cores(64_000)

// stream is a real fold of a usage stream that keeps its raw records.
type stream struct {
	t    require.TestingT
	fold *journal.Fold
	bill *Reducer
	raw  []json.RawMessage
}

func newStream(t require.TestingT) *stream {
	s := &stream{t: t, bill: NewReducer()}
	leases := lease.NewReducer()
	s.fold = journal.NewFold(leases, s.bill, leases)
	s.record(lease.KindClaim, 0, lease.Claim{Duty: duty, Holder: "e1"})
	return s
}

func (s *stream) record(kind journal.Kind, epoch journal.Epoch, body any) journal.Verdict {
	r, err := journal.NewRecord(journal.RecordID(fmt.Sprint("r", len(s.raw))), kind, time.Unix(0, 0), "e1", body)
	require.NoError(s.t, err)
	if epoch > 0 {
		r.Duty, r.Epoch = duty, epoch
	}
	raw, err := r.Encode()
	require.NoError(s.t, err)
	s.raw = append(s.raw, raw)
	v, err := s.fold.Apply(s.fold.Next(), raw)
	require.NoError(s.t, err)
	return v
}

func (s *stream) transfer(host inventory.HostID, owner inventory.OwnerID, at Moment) {
	s.record(KindTransfer, 1, Transfers{Transfers: []Transfer{{Host: host, Owner: owner, Pool: inventory.PoolID(owner + "-pool"), Cores: cores, At: at}}})
}

func (s *stream) report(host inventory.HostID, at Moment, used CoreTime) {
	s.record(KindReport, 1, Reports{Reports: []Report{{Worker: host.Worker(), At: at, Used: used}}})
}

// seal closes the period, unless the moment is 0.
func (s *stream) seal(to Moment) journal.Verdict {
	l := s.bill.Chain()
	return s.record(KindSeal, 1, Seal{Offset: l.Offset, Chain: l.Digest, Close: to})
}

// share returns one owner's share of the open period.
func (s *stream) share(owner inventory.OwnerID, to Moment) Share {
	for _, l := range ByOwner(s.bill.Statement(to).Lines) {
		if l.Owner == owner {
			return l.Share
		}
	}
	return Share{}
}

func TestUsageIsTheSameHoweverReportsArrive(t *testing.T) {
	// The counter rises by 10 a millisecond; a report is due every 100 ms.
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
		"in order":                            times(8),
		"each twice":                          slices.Concat(times(8), times(8)),
		"late, the last first":                reversed,
		"most are missing":                    {0, 700},
		"many, so that most are settled":      times(8)[:8:8],
		"older than what is settled, at last": slices.Concat(times(8), []Moment{50}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStream(t)
			s.transfer("h", "Corchos", 0)
			s.transfer("h", "Campanella", 350)
			for _, at := range arrivals {
				s.report("h", at, CoreTime(at*10))
			}
			require.Equal(t, Share{HostTime: 350, Capacity: 350 * 64_000, Used: 3500, Idle: 350*64_000 - 3500}, s.share("Corchos", 700))
			require.Equal(t, Share{HostTime: 350, Capacity: 350 * 64_000, Used: 3500, Idle: 350*64_000 - 3500}, s.share("Campanella", 700))
		})
	}
}

func TestReportsThatCannotBeAreRefusedAndShown(t *testing.T) {
	for name, bad := range map[string]Report{
		"the counter fell":                    {At: 2000, Used: 10},
		"more than the host has":              {At: 2000, Used: 64_000 * 10_000},
		"another value for the same moment":   {At: 1000, Used: 51},
		"a restart at a time that is counted": {Boot: 1, At: 900, Used: 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStream(t)
			s.transfer("h", "Corchos", 0)
			s.report("h", 0, 0)
			s.report("h", 1000, 50)
			bad.Worker = "h"
			s.record(KindReport, 1, Reports{Reports: []Report{bad}})
			require.Equal(t, CoreTime(50), s.share("Corchos", 3000).Used)
			shown, n := s.bill.Refusals()
			require.Len(t, shown, 1)
			require.EqualValues(t, 1, n)
		})
	}
}

func TestARestartedCounterGoesOn(t *testing.T) {
	s := newStream(t)
	s.transfer("h", "Corchos", 0)
	s.report("h", 0, 500)
	s.report("h", 1000, 900)
	s.record(KindReport, 1, Reports{Reports: []Report{{Worker: "h", Boot: 1, At: 2000, Used: 30}}})
	require.Equal(t, CoreTime(430), s.share("Corchos", 2000).Used)
}

func TestAClosedPeriodNeverChanges(t *testing.T) {
	s := newStream(t)
	s.transfer("h", "Corchos", 0)
	s.report("h", 0, 0)
	s.report("h", 500, 5000)
	require.Equal(t, journal.Accepted, s.seal(1000).Outcome)
	closed := s.bill.Statements()
	require.Equal(t, Share{HostTime: 1000, Capacity: 64_000_000, Used: 5000, Idle: 64_000_000 - 5000}, closed[0].Lines[0].Share)
	t.Run("what is reported late is shown apart in the next", func(t *testing.T) {
		s.report("h", 1500, 15_000)
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
		require.Equal(t, journal.Rejected, s.seal(900).Outcome)
	})
	require.Equal(t, closed, s.bill.Statements())
}

func TestAHolderThatWasPausedBillsNothing(t *testing.T) {
	s := newStream(t)
	s.transfer("h", "Corchos", 0)
	s.record(lease.KindClaim, 0, lease.Claim{Duty: duty, Holder: "e2", From: 1})
	before := s.bill.Chain()
	require.Equal(t, journal.Rejected, s.record(KindTransfer, 1, Transfers{Transfers: []Transfer{{Host: "h", Owner: "Campanella", Pool: "p", Cores: cores, At: 5}}}).Outcome)
	require.Equal(t, journal.Rejected, s.record(KindTransfer, 0, Transfers{Transfers: []Transfer{{Host: "h", Owner: "Campanella", Pool: "p", Cores: cores, At: 5}}}).Outcome)
	require.Equal(t, before, s.bill.Chain())
	require.Equal(t, HostTime(10), s.share("Corchos", 10).HostTime)
}

func TestEveryChangeOfTheRecordsIsFound(t *testing.T) {
	s := newStream(t)
	s.transfer("h", "Corchos", 0)
	for i := range 10 {
		s.report("h", Moment(i*100), CoreTime(i*1000))
	}
	s.seal(0)
	s.report("h", 1000, 10_000)
	statement := s.bill.Statement(1000)
	audit := func(raw []json.RawMessage) error {
		a := NewAudit()
		if err := a.Add(0, raw); err != nil {
			return err
		}
		return a.CheckStatement(statement)
	}
	require.NoError(t, audit(s.raw))
	at := 4
	changed := []byte(string(s.raw[at]))
	i := slices.Index(changed, 'U')
	copy(changed[i:], []byte("V"))
	var r journal.Record
	require.NoError(t, json.Unmarshal(s.raw[at], &r))
	r.By = "somebody else"
	other, err := r.Encode()
	require.NoError(t, err)
	for name, raw := range map[string][]json.RawMessage{
		"another writer":             slices.Concat(s.raw[:at], []json.RawMessage{other}, s.raw[at+1:]),
		"a changed byte":             slices.Concat(s.raw[:at], []json.RawMessage{changed}, s.raw[at+1:]),
		"deleted":                    slices.Concat(s.raw[:at], s.raw[at+1:]),
		"inserted":                   slices.Concat(s.raw[:at], s.raw[at:at+1], s.raw[at:]),
		"swapped":                    slices.Concat(s.raw[:at], s.raw[at+1:at+2], s.raw[at:at+1], s.raw[at+2:]),
		"cut off at the end":         s.raw[:len(s.raw)-1],
		"changed behind the seal":    slices.Concat(s.raw[:len(s.raw)-1], []json.RawMessage{other}),
		"replaced by nothing at all": nil,
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
		require.NoError(t, a.Add(0, s.raw))
		require.ErrorIs(t, a.CheckStatement(wrong), ErrMismatch)
	})
}

// worker is a host whose tasks really use processor time.
type worker struct {
	used, first CoreTime
	// began is when the host was first owned.
	began    Moment
	inFlight []Report
	// reported is false until the first report was counted.
	reported bool
}

func TestTheBillIsTimeTimesHostsToTheLastUnit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream(t)
		now := Moment(1000)
		owners := []inventory.OwnerID{"Corchos", "Campanella"}
		hosts := make(map[inventory.HostID]*worker)
		names := []inventory.HostID{"h1", "h2", "h3"}
		for _, id := range names {
			hosts[id] = &worker{began: now}
			s.transfer(id, owners[0], now)
		}
		run := func(t *rapid.T) {
			span := Moment(rapid.IntRange(1, 100_000).Draw(t, "span"))
			now += span
			for _, id := range names {
				w := hosts[id]
				w.used += CoreTime(rapid.Int64Range(0, int64(capacity(cores, span))).Draw(t, "used"))
				w.inFlight = append(w.inFlight, Report{Worker: id.Worker(), At: now, Used: w.used})
			}
		}
		deliver := func(t *rapid.T) {
			id := rapid.SampledFrom(names).Draw(t, "host")
			w := hosts[id]
			if len(w.inFlight) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "report")
			if !w.reported {
				w.reported, w.first = true, w.inFlight[i].Used
			}
			s.record(KindReport, 1, Reports{Reports: []Report{w.inFlight[i]}})
			if rapid.Bool().Draw(t, "last") {
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":     run,
			"deliver": deliver,
			"transfer": func(t *rapid.T) {
				s.transfer(rapid.SampledFrom(names).Draw(t, "host"), rapid.SampledFrom(owners).Draw(t, "owner"), max(1000, now-Moment(rapid.Int64Range(0, 200_000).Draw(t, "ago"))))
			},
			"close": func(t *rapid.T) {
				s.seal(now - Moment(rapid.Int64Range(0, 50_000).Draw(t, "ago")))
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
				// keptStatements bounds what is remembered, so stop adding up beyond it.
				if len(s.bill.Statements()) == keptStatements {
					t.Skip("earlier periods are forgotten")
				}
				want := HostTime(0)
				for _, w := range hosts {
					want += HostTime(now - w.began)
				}
				require.Equal(t, want, total.HostTime)
				require.Equal(t, capacity(cores, Moment(want)), total.Capacity)
				require.Equal(t, s.counted(), total.Used+total.Late)
				_, refused := s.bill.Refusals()
				require.Zero(t, refused)
			},
		})
		a := NewAudit()
		require.NoError(t, a.Add(0, s.raw))
		require.NoError(t, a.CheckStatement(s.bill.Statement(now)))
	})
}

// counted is what the counters rose by between the first and the last report
// that counted, found from the records by themselves.
func (s *stream) counted() CoreTime {
	base, last := make(map[inventory.WorkerID]Report), make(map[inventory.WorkerID]Report)
	for _, raw := range s.raw {
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
