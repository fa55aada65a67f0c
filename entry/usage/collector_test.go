package usage

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// fakeLog is a log whose records reach the book at once.
type fakeLog struct {
	n   journal.Offset
	out chan platform.Batch
	// lost counts appends whose answer is lost after their effect.
	lost int
	raw  []json.RawMessage
}

func (l *fakeLog) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	l.raw = append(l.raw, raw)
	l.out <- platform.Batch{First: l.n, End: l.n + 1, Records: []json.RawMessage{raw}}
	l.n++
	if l.lost > 0 {
		l.lost--
		return platform.ErrUncertain
	}
	return nil
}

// fakeMeter tells what is put into it.
type fakeMeter struct {
	told []platform.UsageReport
}

func (m *fakeMeter) Usage(inventory.WorkerID) ([]platform.UsageReport, error) {
	return m.told, nil
}

// office is a collector over fakes in virtual time.
type office struct {
	t         *testing.T
	log       *fakeLog
	meter     *fakeMeter
	fleet     *view.Box[follower.State]
	book      *follower.Stream[*state.Usage]
	collector *collector
	now       time.Time
}

func newOffice(t *testing.T) *office {
	o := &office{t: t, log: &fakeLog{out: make(chan platform.Batch, 16)}, meter: &fakeMeter{}, now: time.Unix(1_700_000_000, 0)}
	o.fleet = view.NewBox(follower.State{})
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	o.book = follower.NewStream(follower.StreamConfig[*state.Usage]{Log: quiet, Stream: "Usage.Palermo", State: state.NewUsage(), In: o.log.out})
	o.collector = newCollector(Config{Log: quiet, Name: "e1", DataCentre: "Palermo", Records: o.log, Workers: o.meter, Fleet: o.fleet}, o.book)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = o.book.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	o.own("Bells", o.now)
	r, err := journal.NewRecord("claim", lease.KindClaim, o.now, "e1", lease.Claim{Duty: DutyUsage, Holder: "e1"})
	require.NoError(t, err)
	_, err = o.book.Record(context.Background(), o.log, r)
	require.NoError(t, err)
	return o
}

// own puts the host into a pool of Campanella or of Corchos from a moment on.
func (o *office) own(p inventory.PoolID, since time.Time) {
	var st follower.State
	st.Configuration.Pools = map[inventory.PoolID]configuration.Pool{"Bells": {Owner: "Campanella"}, "Prices": {Owner: "Corchos"}}
	st.Configuration.Hosts = map[inventory.HostID]configuration.Host{"h": {Size: inventory.Size{Cores: 64_000}}}
	st.Pools = &pool.View{Hosts: map[inventory.HostID]*pool.Host{"h": {Pool: p, DataCentre: "Palermo", Owned: since}, "far": {Pool: p, DataCentre: "Catania"}}}
	o.fleet.Publish(st)
}

// tick lets time pass and the collector work.
func (o *office) tick(d time.Duration) error {
	o.now = o.now.Add(d)
	return o.collector.Tick(context.Background(), o.now, 1)
}

// statement returns the open period up to now.
func (o *office) statement() bill.Statement {
	var s bill.Statement
	require.NoError(o.t, o.book.Do(context.Background(), func(u *state.Usage) { s = u.Bill.Statement(bill.MomentOf(o.now)) }))
	return s
}

func TestAMonthIsClosedOnceItsReportsAreIn(t *testing.T) {
	month := time.Date(2026, time.December, 1, 0, 0, 0, 0, time.UTC)
	o := newOffice(t)
	o.now = month.Add(-time.Hour)
	o.own("Bells", o.now)
	report := func(at time.Time) []platform.UsageReport {
		return []platform.UsageReport{{At: at, Used: 4000 * at.Sub(month.Add(-time.Hour)).Milliseconds()}}
	}
	closed := func() []bill.Statement {
		var s []bill.Statement
		require.NoError(t, o.book.Do(context.Background(), func(u *state.Usage) { s = u.Bill.Statements() }))
		return s
	}
	o.meter.told = report(month.Add(-time.Hour))
	require.NoError(t, o.tick(time.Second))
	o.now = month.Add(closeAfter)
	o.meter.told = report(month.Add(-time.Minute))
	require.NoError(t, o.tick(time.Minute))
	require.Empty(t, closed(), "the last report is from before the end")
	o.meter.told = report(month.Add(time.Minute))
	require.NoError(t, o.tick(time.Minute))
	require.Len(t, closed(), 1)
	require.Equal(t, bill.MomentOf(month), closed()[0].To)
	require.Equal(t, bill.CoreTime(4000*time.Hour.Milliseconds()), bill.Sum(closed()[0].Lines).Used)
	require.NoError(t, o.tick(time.Minute))
	require.Len(t, closed(), 1, "once")
}

func TestUsageIsCollectedThroughEachFailure(t *testing.T) {
	at := func(n int) platform.UsageReport {
		n = min(n, 40)
		return platform.UsageReport{At: time.Unix(1_700_000_000+int64(n), 0), Used: int64(n) * 1000 * 4000}
	}
	for name, c := range map[string]struct {
		told func(n int) []platform.UsageReport
		lost int
	}{
		"in order":                     {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n)} }, 0},
		"each report twice":            {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n), at(n)} }, 0},
		"most reports are missing":     {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n - n%10)} }, 0},
		"reports are two seconds late": {func(n int) []platform.UsageReport { return []platform.UsageReport{at(max(0, n-2))} }, 0},
		"the log's answers are lost":   {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n)} }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOffice(t)
			for n := range 43 {
				o.meter.told = c.told(n)
				if n == 20 {
					o.log.lost = c.lost
					o.own("Prices", o.now)
				}
				_ = o.tick(time.Second)
			}
			lines := o.statement().Lines
			require.Len(t, lines, 2)
			total := bill.Sum(lines)
			require.Equal(t, bill.HostTime(43_000), total.HostTime, "time of the host from its first moment")
			require.Equal(t, bill.CoreTime(40*1000*4000), total.Used, "what the counter rose by")
			require.Equal(t, bill.HostTime(20_000), lines[0].HostTime, "until the transfer, at the time of the pools' state")
			audit := bill.NewAudit()
			require.NoError(t, audit.Add(0, o.log.raw))
			require.NoError(t, audit.CheckStatement(o.statement()))
		})
	}
}
