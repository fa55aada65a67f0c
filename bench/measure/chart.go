package measure

// Chart is one picture of a measurement. Options.Plot takes it; a report shows
// it.
type Chart struct {
	// Name is unique among all charts, for example "requests.latency".
	Name string
	// Title says in one line what the reader sees.
	Title string
	// X and Y name the axes with their units.
	X, Y string
	// Lines have names that differ.
	Lines []Line
	// LogarithmicY draws Y by powers of ten; every value is then above 0.
	LogarithmicY bool
}

// Line is one row of points, in order of X.
type Line struct {
	Name   string
	Points []Point
	// Steps keeps each value until the next point, as a count does.
	Steps bool
	// Reference marks a lower bound or a target, drawn dashed.
	Reference bool
}

// Point is one place in a chart.
type Point struct {
	X, Y float64
}

// Plot hands a chart to whoever asked for charts.
func (o Options) Plot(c Chart) {
	if o.Chart != nil {
		o.Chart(c)
	}
}
