package capacity

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// fleetSizes are the sizes for figures per host.
var fleetSizes = []size{{1000, Pools, Teams}, {4300, Pools, Teams}, targetSize}

// changesMeasured is the number of changes applied at each size.
const changesMeasured = 10

// measureApply measures the time to apply one configuration change and its size.
func measureApply(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	var times []point
	for _, s := range fleetSizes {
		o.Progress(fmt.Sprintf("applying changes at %d hosts", s.hosts))
		t, bytes, err := measureChange(s)
		if err != nil {
			return nil, err
		}
		times = append(times, point{float64(s.hosts), float64(t.Microseconds())})
		figures = append(figures,
			measure.Figure{Name: fmt.Sprintf("fold.change_time_at_%d", s.hosts), Value: float64(t.Microseconds()), Unit: measure.Microseconds},
			measure.Figure{Name: fmt.Sprintf("fold.change_bytes_at_%d", s.hosts), Value: bytes, Unit: measure.Bytes, Deterministic: true})
	}
	figures = append(figures, measure.Figure{Name: "fold.change_time_per_host", Value: slope(times) * 1000, Unit: measure.Nanoseconds})
	share := times[len(times)-1].value / 1e6 * ChangesPerDay / secondsPerDay
	return append(figures, measure.Figure{Name: "fold.share_of_core", Value: share, Unit: measure.Ratio}), nil
}

func measureChange(s size) (time.Duration, float64, error) {
	f, err := newFleetState(s)
	if err != nil {
		return 0, 0, err
	}
	n, bytes := 0, 0
	t, err := shortestTime(changesMeasured, func() error {
		raw, err := encodeChange(n, s, f.Configuration.Current().Version)
		if err != nil {
			return err
		}
		n, bytes = n+1, len(raw)
		return applyAccepted(f, raw)
	})
	return t, float64(bytes), err
}

// measureState measures the memory of hosts, pools and teams in the marshalled state
// and on the heap.
func measureState(o measure.Options) ([]measure.Figure, error) {
	kinds := []struct {
		name  string
		sizes []size
		of    func(s size) int
	}{
		{"host", fleetSizes, func(s size) int { return s.hosts }},
		{"pool", []size{{1000, 28, Teams}, {1000, 56, Teams}, {1000, Pools, Teams}}, func(s size) int { return s.pools }},
		{"team", []size{{1000, Pools, 80}, {1000, Pools, 800}, {1000, Pools, 8000}}, func(s size) int { return s.teams }},
	}
	var figures []measure.Figure
	for _, k := range kinds {
		o.Progress("state per " + k.name)
		var marshalled, heap []point
		for _, s := range k.sizes {
			b, h, err := stateBytes(s)
			if err != nil {
				return nil, err
			}
			marshalled = append(marshalled, point{float64(k.of(s)), b})
			heap = append(heap, point{float64(k.of(s)), h})
		}
		figures = append(figures,
			measure.Figure{Name: "state.bytes_per_" + k.name, Value: slope(marshalled), Unit: measure.Bytes, Deterministic: true},
			measure.Figure{Name: "state.heap_per_" + k.name, Value: slope(heap), Unit: measure.Bytes})
	}
	_, heapOfFleet, err := stateBytes(targetSize)
	if err != nil {
		return nil, err
	}
	windowHeapBytes, err := windowHeap()
	if err != nil {
		return nil, err
	}
	jobRecordBytes, err := jobBytes()
	return append(figures,
		measure.Figure{Name: "state.heap_of_fleet", Value: heapOfFleet + windowHeapBytes, Unit: measure.Bytes},
		measure.Figure{Name: "state.heap_of_full_window", Value: windowHeapBytes, Unit: measure.Bytes},
		measure.Figure{Name: "state.bytes_per_job_record", Value: jobRecordBytes, Unit: measure.Bytes, Deterministic: true}), err
}

func stateBytes(s size) (marshalled, heap float64, err error) {
	heap, err = measureHeap(func() (*state.Fleet, error) { return newFleetState(s) })
	if err != nil {
		return 0, 0, err
	}
	f, err := newFleetState(s)
	if err != nil {
		return 0, 0, err
	}
	b, err := f.Configuration.MarshalState()
	return float64(len(b)), heap, err
}

// windowHeap returns the heap use of a full window of remembered record identities.
func windowHeap() (float64, error) {
	return measureHeap(func() (*journal.StateMachine, error) { return newStateMachineWithRenewals(journal.WindowSize) })
}

// newStateMachineWithRenewals returns a state machine that has applied n lease
// renewals.
func newStateMachineWithRenewals(n int) (*journal.StateMachine, error) {
	machine := journal.NewStateMachine(nil, lease.NewReducer())
	for i := range n {
		raw, err := encodeRecord(fmt.Sprint("renewal-", i), entryHostName, lease.KindRenew, lease.Renew{})
		if err != nil {
			return nil, err
		}
		if _, err := machine.Apply(journal.Offset(i), raw); err != nil {
			return nil, err
		}
	}
	return machine, nil
}

func jobBytes() (float64, error) {
	raw, err := encodeRecord("submit-00000000-0000-4000-8000-000000000000", operator("Campanella"), "Job.Submit", configuration.Job{
		ID: "rendering-2027-01-13-school-0123", Owner: "Campanella", Team: "team-07", Labels: label.Set{"Pool": "pool-017"},
		Declared: inventory.Size{Cores: 4000, Memory: 8 * inventory.Gibibyte}, DeclaredTime: configuration.Duration(time.Hour),
		Template: "render-bell", Command: "render --school 0123 --schedule 2027-01-13",
	})
	return float64(len(raw)), err
}

// measureLease measures the size of a lease renewal by the number of renewed duties.
func measureLease(measure.Options) ([]measure.Figure, error) {
	var points []point
	for _, n := range []int{1, 4, 16} {
		held := make(map[lease.Duty]journal.Epoch, n)
		for i := range n {
			held[lease.Duty(fmt.Sprintf("Placement.DataCentre-%02d", i))] = 1234
		}
		raw, err := encodeRecord("00000000-0000-4000-8000-000000000000", entryHostName, lease.KindRenew, lease.Renew{Holder: entryHostName, Number: 1_800_000_000_000_000_000, Held: held})
		if err != nil {
			return nil, err
		}
		points = append(points, point{float64(n), float64(len(raw))})
	}
	perDuty := slope(points)
	return []measure.Figure{
		{Name: "lease.renewal_bytes", Value: points[0].value - perDuty, Unit: measure.Bytes, Deterministic: true},
		{Name: "lease.renewal_bytes_per_duty", Value: perDuty, Unit: measure.Bytes, Deterministic: true},
	}, nil
}
