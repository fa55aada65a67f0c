package report

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"html/template"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/godwitcross/godwitcross/bench/bound"
	"github.com/godwitcross/godwitcross/bench/measure"
)

// Size of a chart.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 11 * vg.Centimeter
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// chartImage is a rendered chart on the page.
type chartImage struct {
	Title string
	// Source is a data URL with the whole image.
	Source template.URL
}

// figureRow is a table row of the page. Result is set if Bounded is true.
type figureRow struct {
	measure.Figure
	Bounded bool
	Result  bound.Result
}

// WritePage writes the figures and charts as one HTML page into the folder, which it
// creates if needed, and returns the page's path. The page loads nothing over the
// network.
func WritePage(folder string, d Document, charts []measure.Chart) (string, error) {
	data := struct {
		Document
		Rows   []figureRow
		Charts []chartImage
	}{Document: d}
	results := make(map[string]bound.Result)
	for _, r := range bound.Check(d.Figures) {
		results[r.Name] = r
	}
	for _, f := range d.Figures {
		r, ok := results[f.Name]
		data.Rows = append(data.Rows, figureRow{Figure: f, Bounded: ok, Result: r})
	}
	for _, c := range charts {
		p, err := render(c)
		if err != nil {
			return "", err
		}
		data.Charts = append(data.Charts, p)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, data); err != nil {
		return "", eris.Wrap(err, "writing the page")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", eris.Wrap(err, "creating the folder of the report")
	}
	path := filepath.Join(folder, d.Group+".html")
	return path, eris.Wrap(os.WriteFile(path, b.Bytes(), 0o644), "writing the page")
}

// render renders a chart as an SVG image.
func render(c measure.Chart) (chartImage, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = c.X, c.Y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	if c.LogarithmicY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	}
	for i, l := range c.Lines {
		if len(l.Points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(points(l))
		if err != nil {
			return chartImage{}, eris.Wrapf(err, "chart %s, line %s", c.Name, l.Name)
		}
		drawn.Color = plotutil.Color(i)
		if l.Steps {
			drawn.StepStyle = plotter.PostStep
		}
		if l.Reference {
			drawn.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		}
		p.Add(drawn)
		p.Legend.Add(l.Name, drawn)
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return chartImage{}, eris.Wrapf(err, "drawing chart %s", c.Name)
	}
	source := "data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(b.Bytes())
	return chartImage{Title: c.Title, Source: template.URL(source)}, nil
}

func points(l measure.Line) plotter.XYs {
	out := make(plotter.XYs, len(l.Points))
	for i, p := range l.Points {
		out[i] = plotter.XY{X: p.X, Y: p.Y}
	}
	return out
}
