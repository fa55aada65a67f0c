// Package measure holds what a measurement is and what it returns.
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
	// Deterministic figures depend on the seed alone, never on the machine.
	Deterministic bool
	// Better says which values are better; where it is empty, the figure's bound
	// says it.
	Better Direction `json:",omitempty"`
}

// Options are those of every measurement.
type Options struct {
	Seed uint64
	// Duration bounds measurements over real sockets.
	Duration time.Duration
	// Progress reports what is being done; it is never nil.
	Progress func(text string)
	// Chart takes pictures; it may be nil, so measurements call Plot.
	Chart func(c Chart)
}

// Measurement is one experiment.
type Measurement struct {
	// Name is one word; its figures' names begin with it and a dot.
	Name  string
	Usage string
	Run   func(o Options) ([]Figure, error)
}
