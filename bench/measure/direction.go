package measure

import "math"

// Direction is the direction in which a figure improves.
type Direction string

// Directions of improvement. A figure without one never counts as better or worse.
const (
	Lower  Direction = "Lower"
	Higher Direction = "Higher"
)

// quantileFromNines returns the quantile with the given number of nines, for example
// 0.99 for 2.
func quantileFromNines(nines float64) float64 {
	return 1 - math.Pow(10, -nines)
}
