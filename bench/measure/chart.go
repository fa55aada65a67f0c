package measure

// Chart is a chart of measured values. A measurement passes it to Options.Plot, and
// the report page shows it.
type Chart struct {
	// Name is unique among all charts, for example "requests.latency".
	Name string
	// Title describes the chart in one line.
	Title string
	// X and Y are the axis labels with units.
	X, Y string
	// Lines have unique names.
	Lines []Line
	// LogarithmicY selects a logarithmic Y axis, which requires values above 0.
	LogarithmicY bool
}

// Line is a series of points in ascending order of X.
type Line struct {
	Name   string
	Points []Point
	// Steps draws each value as constant until the next point, as for a count.
	Steps bool
	// Reference marks a lower bound or target, which is drawn dashed.
	Reference bool
}

// Point is a data point of a line.
type Point struct {
	X, Y float64
}

// Plot passes the chart to the Chart callback, if one is set.
func (o Options) Plot(c Chart) {
	if o.Chart != nil {
		o.Chart(c)
	}
}
