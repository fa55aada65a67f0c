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

// claimsPerGroup is the number of idempotency key claims in one record.
const claimsPerGroup = 10

// measureKeys measures the heap use of a service's claims, up to the maximum that a
// host remembers.
func measureKeys(measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	var points []point
	for _, n := range []int{1000, 10_000, claim.MaxClaims} {
		bytes, err := measureHeap(func() (*claim.Table, error) { return claimTable(n) })
		if err != nil {
			return nil, err
		}
		points = append(points, point{float64(n), bytes})
		figures = append(figures, measure.Figure{Name: fmt.Sprintf("keys.heap_at_%d", n), Value: bytes, Unit: measure.Bytes})
	}
	return append(figures, measure.Figure{Name: "keys.heap_per_claim", Value: slope(points), Unit: measure.Bytes}), nil
}

// claimTable returns a table of n claims, applied in groups.
func claimTable(n int) (*claim.Table, error) {
	t := claim.NewTable()
	for i := 0; i < n; i += claimsPerGroup {
		var g claim.Group
		for j := range min(claimsPerGroup, n-i) {
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
