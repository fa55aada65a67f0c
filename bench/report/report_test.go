package report

import (
	"bytes"
	"encoding/base64"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/bench/bound"
	"github.com/godwitcross/godwitcross/bench/measure"
)

// withBounds replaces the table of bounds for a test.
func withBounds(t *testing.T, bounds ...bound.Bound) {
	t.Helper()
	table := bound.Table
	bound.Table = bounds
	t.Cleanup(func() { bound.Table = table })
}

func TestCompareClassifiesChanges(t *testing.T) {
	withBounds(t, bound.Bound{Figure: "b.low", Low: 0, High: 10}, bound.Bound{Figure: "b.high", Low: 0.9, High: 1})
	figure := func(name string, v float64, d measure.Direction, exact bool) measure.Figure {
		return measure.Figure{Name: name, Value: v, Better: d, Deterministic: exact}
	}
	tests := map[string]struct {
		before, after measure.Figure
		change        Change
		past          bool
	}{
		"lower is better and it fell":           {figure("x", 10, measure.Lower, true), figure("x", 9, measure.Lower, true), Better, false},
		"lower is better and it rose":           {figure("x", 10, measure.Lower, true), figure("x", 11, measure.Lower, true), Worse, false},
		"higher is better and it rose":          {figure("x", 10, measure.Higher, true), figure("x", 11, measure.Higher, true), Better, false},
		"a small change of an exact figure":     {figure("x", 100, measure.Lower, true), figure("x", 101, measure.Lower, true), Worse, false},
		"a small change of a machine's figure":  {figure("x", 100, measure.Lower, false), figure("x", 104, measure.Lower, false), Same, false},
		"a large change of a machine's figure":  {figure("x", 100, measure.Lower, false), figure("x", 106, measure.Lower, false), Worse, false},
		"no direction":                          {figure("x", 1, "", true), figure("x", 2, "", true), Other, false},
		"a bound from 0 gives the direction":    {figure("b.low", 1, "", true), figure("b.low", 2, "", true), Worse, false},
		"a bound above 0 gives the direction":   {figure("b.high", 0.91, "", true), figure("b.high", 0.95, "", true), Better, false},
		"better, but still past the bound":      {figure("b.low", 20, "", true), figure("b.low", 11, "", true), Better, true},
		"the figure's own direction goes first": {figure("b.low", 1, measure.Higher, true), figure("b.low", 2, measure.Higher, true), Better, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rows := Compare(Document{Figures: []measure.Figure{test.before}}, Document{Figures: []measure.Figure{test.after}})
			require.Len(t, rows, 1)
			require.Equal(t, test.change, rows[0].Change)
			require.Equal(t, test.past, rows[0].Bounded && !rows[0].OK)
		})
	}
	rows := Compare(Document{Figures: []measure.Figure{figure("old", 1, "", true)}}, Document{Figures: []measure.Figure{figure("new", 1, "", true)}})
	require.Equal(t, []Change{New, Gone}, []Change{rows[0].Change, rows[1].Change})
}

func TestParseRejectsMalformedDocuments(t *testing.T) {
	d := Document{Group: "policy", Seed: 1, Figures: []measure.Figure{{Name: "a.x", Value: 0.1, Unit: measure.Ratio}}}
	var b bytes.Buffer
	require.NoError(t, d.Write(&b))
	got, err := Parse(b.Bytes())
	require.NoError(t, err)
	require.Equal(t, d, got)
	for name, text := range map[string]string{
		"a bare list":               `[]`,
		"no group":                  `{"Figures":[]}`,
		"an unknown field":          `{"Group":"policy","Colour":1}`,
		"a figure twice":            `{"Group":"policy","Figures":[{"Name":"a"},{"Name":"a"}]}`,
		"a figure without a name":   `{"Group":"policy","Figures":[{"Value":1}]}`,
		"a value that is text":      `{"Group":"policy","Figures":[{"Name":"a","Value":"1"}]}`,
		"a direction that is none":  `{"Group":"policy","Figures":[{"Name":"a","Better":"Left"}]}`,
		"text behind the end":       `{"Group":"policy"} {}`,
		"a file that was cut short": `{"Group":"policy","Figures":[{"Na`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(text))
			require.ErrorIs(t, err, ErrDocument)
		})
	}
}

func TestPageNeedsNoNetwork(t *testing.T) {
	withBounds(t, bound.Bound{Figure: "a.x", Low: 0, High: 1, Source: "letter"})
	d := Document{Group: "policy", Seed: 7, Figures: []measure.Figure{{Name: "a.x", Value: 2}, {Name: "a.<script>", Value: 1}}}
	h := measure.NewHistogram()
	for i := range 1000 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	path, err := WritePage(t.TempDir(), d, []measure.Chart{{
		Name: "a.latency", Title: "Latency through a burst", X: "nines", Y: "ms", LogarithmicY: true,
		Lines: []measure.Line{h.Line("urgent"), {Name: "bound", Reference: true, Points: []measure.Point{{X: 0, Y: 10}, {X: 3, Y: 10}}}, {Name: "empty"}},
	}})
	require.NoError(t, err)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	text := string(b)
	require.NotRegexp(t, `(?i)(src|href)\s*=\s*["']?(https?:)?//`, text)
	require.NotContains(t, text, "<script>")
	require.Contains(t, text, `class="past"`)
	encoded := regexp.MustCompile(`data:image/svg(?:\+|&#43;)xml;base64,([^"]+)"`).FindStringSubmatch(text)
	require.Len(t, encoded, 2)
	svg, err := base64.StdEncoding.DecodeString(strings.ReplaceAll(encoded[1], "&#43;", "+"))
	require.NoError(t, err)
	require.Contains(t, string(svg), "urgent")
	require.NotContains(t, string(svg), "empty")
}

func TestHistogramPrecision(t *testing.T) {
	h, other := measure.NewHistogram(), measure.NewHistogram()
	for i := range 500 {
		h.Record(time.Duration(i+1) * time.Millisecond)
		other.Record(time.Duration(i+501) * time.Millisecond)
	}
	h.Merge(other)
	require.Equal(t, int64(1000), h.Count())
	require.InEpsilon(t, 0.5, h.Quantile(0.5).Seconds(), 0.001)
	require.InEpsilon(t, 0.99, h.Quantile(0.99).Seconds(), 0.001)
	h.Record(100 * time.Hour)
	require.InEpsilon(t, time.Hour.Seconds(), h.Quantile(1).Seconds(), 0.001, "beyond the range counts as its end")
	require.Equal(t, []string{"a_p50", "a_p99", "a_p999", "a_max"}, figureNames(h.Figures("a", false)))
}

func figureNames(figures []measure.Figure) []string {
	var out []string
	for _, f := range figures {
		out = append(out, f.Name)
	}
	return out
}
