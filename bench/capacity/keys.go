package capacity

import (
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// keysPerGroup is how many claims of keys one record has.
const keysPerGroup = 10

// measureKeys measures the memory of a service's claims, up to the most that a
// host remembers.
func measureKeys(measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	var points []point
	for _, n := range []int{1000, 10_000, claim.MaxClaims} {
		bytes, err := heapOf(func() (*claim.Table, error) { return claimTable(n) })
		if err != nil {
			return nil, err
		}
		points = append(points, point{float64(n), bytes})
		figures = append(figures, measure.Figure{Name: fmt.Sprintf("keys.heap_at_%d", n), Value: bytes, Unit: measure.Bytes})
	}
	return append(figures, measure.Figure{Name: "keys.heap_per_claim", Value: slope(points), Unit: measure.Bytes}), nil
}

// claimTable returns a table of n claims in groups.
func claimTable(n int) (*claim.Table, error) {
	t := claim.NewTable()
	for i := 0; i < n; i += keysPerGroup {
		var g claim.Group
		for j := range min(keysPerGroup, n-i) {
			k, err := claim.NewDigest("tenant", "service", strconv.Itoa(i+j))
			if err != nil {
				return nil, err
			}
			g.Claims = append(g.Claims, k)
		}
		r, err := journal.NewRecord(journal.RecordID(uuid.NewString()), claim.KindGroup, time.Unix(int64(i), 0), "entry", g)
		if err != nil {
			return nil, err
		}
		if err := t.Apply(r); err != nil {
			return nil, err
		}
	}
	return t, nil
}
