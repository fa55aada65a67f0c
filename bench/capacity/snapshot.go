package capacity

import (
	"fmt"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// measureSnapshot measures the size of a packed snapshot and the time to create and to
// restore it.
func measureSnapshot(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	var sizes []point
	for _, s := range fleetSizes {
		o.Progress(fmt.Sprintf("snapshot at %d hosts", s.hosts))
		f, err := newFleetState(s)
		if err != nil {
			return nil, err
		}
		var chunks []journal.Chunk
		makeTime, err := shortestTime(3, func() (err error) {
			snap, err := f.StateMachine().Snapshot(journal.StreamFleet)
			if err != nil {
				return err
			}
			chunks, err = journal.Split(snap, "s")
			return err
		})
		if err != nil {
			return nil, err
		}
		restoreTime, err := shortestTime(3, func() error { return restore(chunks) })
		if err != nil {
			return nil, err
		}
		bytes := 0
		for _, c := range chunks {
			bytes += len(c.Data)
		}
		sizes = append(sizes, point{float64(s.hosts), float64(bytes)})
		at := func(name string, v float64, u measure.Unit, same bool) measure.Figure {
			return measure.Figure{Name: fmt.Sprintf("snapshot.%s_at_%d", name, s.hosts), Value: v, Unit: u, Deterministic: same}
		}
		figures = append(figures, at("bytes", float64(bytes), measure.Bytes, true),
			at("time_to_make", float64(makeTime.Microseconds()), measure.Microseconds, false),
			at("time_to_restore", float64(restoreTime.Microseconds()), measure.Microseconds, false))
	}
	w, err := windowBytes()
	return append(figures,
		measure.Figure{Name: "snapshot.bytes_per_host", Value: slope(sizes), Unit: measure.Bytes, Deterministic: true},
		measure.Figure{Name: "snapshot.bytes_of_full_window", Value: w, Unit: measure.Bytes, Deterministic: true}), err
}

func restore(chunks []journal.Chunk) error {
	a := journal.NewAssembler(journal.StreamFleet)
	for _, c := range chunks {
		if err := a.Add(c); err != nil {
			return err
		}
	}
	s, ok := a.Newest()
	if !ok {
		return journal.ErrInvalidSnapshot
	}
	return state.NewFleet().StateMachine().Restore(s)
}

// windowBytes returns the packed size of a snapshot with a full window of record
// identities.
func windowBytes() (float64, error) {
	f, err := newStateMachineWithRenewals(journal.WindowSize)
	if err != nil {
		return 0, err
	}
	s, err := f.Snapshot(journal.StreamFleet)
	if err != nil {
		return 0, err
	}
	packed, err := s.Pack()
	return float64(len(packed)), err
}
