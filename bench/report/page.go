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

// Size of a picture.
const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 11 * vg.Centimeter
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// picture is a chart on the page.
type picture struct {
	Title string
	// Source is a data address that holds the whole picture.
	Source template.URL
}

// line is a figure on the page.
type line struct {
	measure.Figure
	Bounded bool
	Verdict bound.Result
}

// WritePage writes the figures and charts as one page into the folder, which it
// makes, and returns the path. The page needs no network.
func WritePage(folder string, d Document, charts []measure.Chart) (string, error) {
	data := struct {
		Document
		Lines    []line
		Pictures []picture
	}{Document: d}
	verdicts := make(map[string]bound.Result)
	for _, v := range bound.Check(d.Figures) {
		verdicts[v.Name] = v
	}
	for _, f := range d.Figures {
		v, ok := verdicts[f.Name]
		data.Lines = append(data.Lines, line{Figure: f, Bounded: ok, Verdict: v})
	}
	for _, c := range charts {
		p, err := render(c)
		if err != nil {
			return "", err
		}
		data.Pictures = append(data.Pictures, p)
	}
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return "", eris.Wrap(err, "writing the page")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", eris.Wrap(err, "making the folder of the report")
	}
	path := filepath.Join(folder, d.Group+".html")
	return path, eris.Wrap(os.WriteFile(path, b.Bytes(), 0o644), "writing the page")
}

// render draws a chart.
func render(c measure.Chart) (picture, error) {
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
			return picture{}, eris.Wrapf(err, "chart %s, line %s", c.Name, l.Name)
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
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return picture{}, eris.Wrapf(err, "drawing chart %s", c.Name)
	}
	source := "data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(b.Bytes())
	return picture{Title: c.Title, Source: template.URL(source)}, nil
}

func points(l measure.Line) plotter.XYs {
	out := make(plotter.XYs, len(l.Points))
	for i, p := range l.Points {
		out[i] = plotter.XY{X: p.X, Y: p.Y}
	}
	return out
}
