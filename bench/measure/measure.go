// Package measure defines measurements, their options, figures and charts.
package measure

import "time"

// Unit is the unit of a figure.
type Unit string

// Units of figures.
const (
	Ratio        Unit = "ratio"
	Count        Unit = "count"
	Milliseconds Unit = "ms"
	Microseconds Unit = "us"
	Nanoseconds  Unit = "ns"
	Bytes        Unit = "B"
	PerSecond    Unit = "1/s"
	HostHours    Unit = "host-hours"
)

// Figure is one measured value.
type Figure struct {
	// Name is unique among all figures, for example "requests.goodput".
	Name  string
	Value float64
	Unit  Unit
	// Deterministic is true for a figure that depends only on the seed, never on the
	// machine.
	Deterministic bool
	// Better is the direction of improvement. If it is empty, the figure's bound
	// determines the direction.
	Better Direction `json:",omitempty"`
}

// Options configures a measurement.
type Options struct {
	Seed uint64
	// Duration is the length of measurements over real sockets.
	Duration time.Duration
	// Progress reports the current step. It is never nil.
	Progress func(text string)
	// Chart receives charts. It may be nil, so measurements call Plot instead.
	Chart func(c Chart)
}

// Measurement is one experiment.
type Measurement struct {
	// Name is one word. The names of the measurement's figures begin with it and a dot.
	Name  string
	Usage string
	Run   func(o Options) ([]Figure, error)
}
