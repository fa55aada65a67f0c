package known

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validEntry = "figure requests.goodput | go run ./bench policy | seed 1 | seen 0.91 against at least 0.95 | issue 4"

func TestParseRejectsMalformedEntries(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"a field too few":      {"figure a | go x | seed 1 | seen y", "line 1: want 5 fields"},
		"a field too many":     {validEntry + " | more", "want 5 fields"},
		"an unknown kind":      {strings.Replace(validEntry, "figure", "todo", 1), `kind "todo"`},
		"no name":              {strings.Replace(validEntry, " requests.goodput", "", 1), "is not a kind and a name"},
		"two names":            {strings.Replace(validEntry, "goodput", "goodput retries", 1), "is not a kind and a name"},
		"a day by go":          {strings.Replace(validEntry, "figure", "day", 1), "is not a fleetbench command"},
		"a figure by a day":    {strings.Replace(validEntry, "go run", "fleetbench run", 1), "is not a go command"},
		"no command":           {strings.Replace(validEntry, "go run ./bench policy", "", 1), "is not a go command"},
		"a seed that is none":  {strings.Replace(validEntry, "seed 1", "seed one", 1), "is not seed and a number"},
		"a bare seed":          {strings.Replace(validEntry, "seed 1", "1", 1), "is not seed and a number"},
		"nothing seen":         {strings.Replace(validEntry, "seen 0.91 against at least 0.95", "seen ", 1), "does not tell what was seen"},
		"no issue":             {strings.Replace(validEntry, "issue 4", "issue", 1), "is not issue and a number"},
		"issue 0":              {strings.Replace(validEntry, "issue 4", "issue 0", 1), "is not issue and a number"},
		"an entry twice":       {validEntry + "\n" + validEntry, "line 2: requests.goodput stands twice"},
		"a line without end":   {validEntry + strings.Repeat("x", 2*maxLine), "line 1"},
		"the place is counted": {"# comment\n\n" + validEntry + "\nwrong", "line 4: want 5 fields"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(test.text))
			require.ErrorIs(t, err, ErrSyntax)
			require.ErrorContains(t, err, test.want)
		})
	}
	entries, err := Parse(strings.NewReader("# known failures\n\n" + validEntry + "\n"))
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, validEntry, entries[0].String())
	const day = "day site/trouble-1 | fleetbench run site trouble-1 --seed 5 | seed 5 | seen CONFIG 1 | issue 4"
	entries, err = Parse(strings.NewReader(day))
	require.NoError(t, err)
	require.Equal(t, day, entries[0].String())
}

func TestEvaluateAcceptsOnlyListedFailures(t *testing.T) {
	list := []Entry{
		{Kind: Figure, Name: "a.x", Seed: 1},
		{Kind: Test, Name: "p.TestRed"},
		{Kind: Flaky, Name: "p.TestFlaky"},
		{Kind: Day, Name: "p.TestDay", Seed: 5},
	}
	figure := func(seed uint64, ok bool) Result { return Result{Kind: Figure, Name: "a.x", Seed: seed, OK: ok} }
	test := func(name string, ok bool) Result { return Result{Kind: Test, Name: "p." + name, OK: ok} }
	red := test("TestRed", false)
	tests := map[string]struct {
		results  []Result
		complete bool
		known    int
		want     error
	}{
		"a listed figure past its bound":       {results: []Result{figure(1, false)}, known: 1},
		"a listed figure within its bound":     {results: []Result{figure(1, true)}, want: ErrPassed},
		"a listed figure under another seed":   {results: []Result{figure(2, false)}, want: ErrFailed},
		"an unlisted figure past its bound":    {results: []Result{{Kind: Figure, Name: "a.y", Seed: 1}}, want: ErrFailed},
		"a listed test that fails":             {results: []Result{red}, known: 1},
		"a listed test that passes":            {results: []Result{test("TestRed", true)}, want: ErrPassed},
		"an unlisted test that fails":          {results: []Result{red, test("TestNew", false)}, known: 1, want: ErrFailed},
		"a listed test that was not run":       {results: []Result{test("TestGreen", true)}, complete: true, want: ErrNotRun},
		"a flaky test that fails":              {results: []Result{red, test("TestFlaky", false)}, complete: true, known: 2},
		"a flaky test that passes":             {results: []Result{red, test("TestFlaky", true)}, complete: true, known: 1},
		"a test that shares a day's name":      {results: []Result{test("TestDay", false)}, want: ErrFailed},
		"a figure that shares a test's name":   {results: []Result{{Kind: Figure, Name: "p.TestRed"}}, want: ErrFailed},
		"a figure is not missed by a test run": {results: []Result{red, test("TestFlaky", true)}, complete: true, known: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			j := Evaluate(list, c.results, c.complete)
			require.Len(t, j.Known, c.known)
			if c.want == nil {
				require.Empty(t, j.Errors)
				return
			}
			require.ErrorIs(t, j.Errors[0], c.want)
		})
	}
}

func TestReadTests(t *testing.T) {
	pass := `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
	fail := `{"Action":"output","Package":"p","Test":"TestB/part","Output":"why\n"}` + "\n" +
		`{"Action":"fail","Package":"p","Test":"TestB/part"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestB"}` + "\n"
	end := func(action string) string { return `{"Action":"` + action + `","Package":"p"}` + "\n" }
	panicked := `{"Action":"output","Package":"p","Test":"TestC","Output":"panic: boom\n"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestC"}` + "\n"
	tests := map[string]struct {
		text string
		want []Result
		bad  bool
	}{
		"all pass":                      {text: pass + end("pass"), want: []Result{{Kind: Test, Name: "p.TestA", OK: true}}},
		"a part of a test fails":        {text: pass + fail + end("fail"), want: []Result{{Kind: Test, Name: "p.TestA", OK: true}, {Kind: Test, Name: "p.TestB/part"}}},
		"a package that does not build": {text: `{"ImportPath":"p","Action":"build-output","Output":"syntax"}` + "\n" + end("fail"), want: []Result{{Kind: Test, Name: "p"}}},
		"tests behind a panic":          {text: panicked + end("fail"), want: []Result{{Kind: Test, Name: "p.TestC"}, {Kind: Test, Name: "p"}}},
		"a stream that is cut":          {text: pass, bad: true},
		"no package at all":             {text: "", bad: true},
		"only packages without tests":   {text: end("skip"), bad: true},
		"text that is no event":         {text: "ok p 0.1s\n", bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ReadTests(strings.NewReader(test.text))
			if test.bad {
				require.ErrorIs(t, err, ErrStream)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, got.Results)
		})
	}
}
