package measure

import "math"

// Direction says which values of a figure are better.
type Direction string

// The directions. A figure without one is neither better nor worse.
const (
	Lower  Direction = "Lower"
	Higher Direction = "Higher"
)

// quantileOf returns the quantile with the number of nines, for example 0.99
// for 2.
func quantileOf(nines float64) float64 {
	return 1 - math.Pow(10, -nines)
}
