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

// fakeLog is a log whose records reach the usage stream at once.
type fakeLog struct {
	next journal.Offset
	out  chan platform.Batch
	// lostAnswers is how many appends take effect but return no answer.
	lostAnswers int
	raw         []json.RawMessage
}

func (l *fakeLog) Append(_ context.Context, _ journal.StreamID, r journal.Record) error {
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	l.raw = append(l.raw, raw)
	l.out <- platform.Batch{First: l.next, End: l.next + 1, Records: []json.RawMessage{raw}}
	l.next++
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return platform.ErrUncertain
	}
	return nil
}

// fakeWorkers returns the configured reports for each worker.
type fakeWorkers struct {
	reports []platform.UsageReport
}

func (m *fakeWorkers) Usage(inventory.WorkerID) ([]platform.UsageReport, error) {
	return m.reports, nil
}

// simulation runs a collector against fakes in virtual time.
type simulation struct {
	t         *testing.T
	log       *fakeLog
	workers   *fakeWorkers
	fleet     *view.Value[follower.State]
	stream    *follower.Stream[*state.Usage]
	collector *collector
	now       time.Time
}

func newSimulation(t *testing.T) *simulation {
	sim := &simulation{t: t, log: &fakeLog{out: make(chan platform.Batch, 16)}, workers: &fakeWorkers{}, now: time.Unix(1_700_000_000, 0)}
	sim.fleet = view.NewValue(follower.State{})
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	sim.stream = follower.NewStream(follower.StreamConfig[*state.Usage]{Log: discard, Stream: "Usage.Palermo", State: state.NewUsage(), In: sim.log.out})
	sim.collector = newCollector(Config{Log: discard, Name: "e1", DataCentre: "Palermo", Records: sim.log, Workers: sim.workers, Fleet: sim.fleet}, sim.stream)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = sim.stream.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	sim.own("Bells", sim.now)
	r, err := journal.NewRecord("claim", lease.KindClaim, sim.now, "e1", lease.Claim{Duty: DutyUsage, Holder: "e1"})
	require.NoError(t, err)
	_, err = sim.stream.Record(context.Background(), sim.log, r)
	require.NoError(t, err)
	return sim
}

// own assigns the host to a pool of Campanella or of Corchos as of a given time.
func (sim *simulation) own(p inventory.PoolID, since time.Time) {
	var st follower.State
	st.Configuration.Pools = map[inventory.PoolID]configuration.Pool{"Bells": {Owner: "Campanella"}, "Prices": {Owner: "Corchos"}}
	st.Configuration.Hosts = map[inventory.HostID]configuration.Host{"h": {Size: inventory.Size{Cores: 64_000}}}
	st.Pools = &pool.View{Hosts: map[inventory.HostID]*pool.Host{"h": {Pool: p, DataCentre: "Palermo", Owned: since}, "far": {Pool: p, DataCentre: "Catania"}}}
	sim.fleet.Publish(st)
}

// tick advances the time and runs a tick of the collector.
func (sim *simulation) tick(d time.Duration) error {
	sim.now = sim.now.Add(d)
	return sim.collector.Tick(context.Background(), sim.now, 1)
}

// statement returns the statement of the open period up to now.
func (sim *simulation) statement() bill.Statement {
	var s bill.Statement
	require.NoError(sim.t, sim.stream.Do(context.Background(), func(u *state.Usage) { s = u.Bill.Statement(bill.MomentOf(sim.now)) }))
	return s
}

func TestAMonthIsClosedOnceItsReportsAreIn(t *testing.T) {
	month := time.Date(2026, time.December, 1, 0, 0, 0, 0, time.UTC)
	sim := newSimulation(t)
	sim.now = month.Add(-time.Hour)
	sim.own("Bells", sim.now)
	report := func(at time.Time) []platform.UsageReport {
		return []platform.UsageReport{{At: at, Used: 4000 * at.Sub(month.Add(-time.Hour)).Milliseconds()}}
	}
	closed := func() []bill.Statement {
		var s []bill.Statement
		require.NoError(t, sim.stream.Do(context.Background(), func(u *state.Usage) { s = u.Bill.Statements() }))
		return s
	}
	sim.workers.reports = report(month.Add(-time.Hour))
	require.NoError(t, sim.tick(time.Second))
	sim.now = month.Add(closeDelay)
	sim.workers.reports = report(month.Add(-time.Minute))
	require.NoError(t, sim.tick(time.Minute))
	require.Empty(t, closed(), "the last report is from before the end")
	sim.workers.reports = report(month.Add(time.Minute))
	require.NoError(t, sim.tick(time.Minute))
	require.Len(t, closed(), 1)
	require.Equal(t, bill.MomentOf(month), closed()[0].To)
	require.Equal(t, bill.CoreTime(4000*time.Hour.Milliseconds()), bill.Sum(closed()[0].Lines).Used)
	require.NoError(t, sim.tick(time.Minute))
	require.Len(t, closed(), 1, "a month is closed only once")
}

func TestUsageIsCollectedThroughEachFailure(t *testing.T) {
	at := func(n int) platform.UsageReport {
		n = min(n, 40)
		return platform.UsageReport{At: time.Unix(1_700_000_000+int64(n), 0), Used: int64(n) * 1000 * 4000}
	}
	for name, c := range map[string]struct {
		reports func(n int) []platform.UsageReport
		lost    int
	}{
		"in order":                     {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n)} }, 0},
		"each report twice":            {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n), at(n)} }, 0},
		"most reports are missing":     {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n - n%10)} }, 0},
		"reports are two seconds late": {func(n int) []platform.UsageReport { return []platform.UsageReport{at(max(0, n-2))} }, 0},
		"the log's answers are lost":   {func(n int) []platform.UsageReport { return []platform.UsageReport{at(n)} }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t)
			for n := range 43 {
				sim.workers.reports = c.reports(n)
				if n == 20 {
					sim.log.lostAnswers = c.lost
					sim.own("Prices", sim.now)
				}
				_ = sim.tick(time.Second)
			}
			lines := sim.statement().Lines
			require.Len(t, lines, 2)
			total := bill.Sum(lines)
			require.Equal(t, bill.HostTime(43_000), total.HostTime, "host time since the first ownership")
			require.Equal(t, bill.CoreTime(40*1000*4000), total.Used, "the increase of the counter")
			require.Equal(t, bill.HostTime(20_000), lines[0].HostTime, "up to the transfer, at the time in the pool state")
			audit := bill.NewAudit()
			require.NoError(t, audit.Add(0, sim.log.raw))
			require.NoError(t, audit.CheckStatement(sim.statement()))
		})
	}
}
