package known

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrStream is returned for input that is not the complete output of
// `go test -json`.
var ErrStream = eris.New("not the whole output of go test -json")

// maxEvent is the maximum length of a go test event, in bytes.
const maxEvent = 4 << 20

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Tests is the outcome of a go test run.
type Tests struct {
	// Results has one entry for each test, and one with the bare package path
	// for each package that failed without a failed test.
	Results []Result
	// Output maps the name of each failed test to its output.
	Output map[string]string
	// Packages is the number of packages that have tests.
	Packages int
}

// packageRun collects the events of one package.
type packageRun struct {
	output map[string]*strings.Builder
	failed []string
	passed []string
	// result is pass, fail or skip, or empty until the package has finished.
	result string
}

// ReadTests reads the output of go test -json. Lines without a package are output
// of the build.
func ReadTests(r io.Reader) (Tests, error) {
	runs := make(map[string]*packageRun)
	var build strings.Builder
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxEvent)
	for s.Scan() {
		var e event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil || e.Package == "" {
			build.WriteString(e.Output)
			continue
		}
		if runs[e.Package] == nil {
			runs[e.Package] = &packageRun{output: make(map[string]*strings.Builder)}
		}
		runs[e.Package].add(e)
	}
	if err := s.Err(); err != nil {
		return Tests{}, eris.Wrapf(ErrStream, "%s", err)
	}
	return collect(runs, build.String())
}

func (p *packageRun) add(e event) {
	switch {
	case e.Action == "output":
		if p.output[e.Test] == nil {
			p.output[e.Test] = &strings.Builder{}
		}
		p.output[e.Test].WriteString(e.Output)
	case e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
		p.result = e.Action
	case e.Action == "fail":
		p.failed = append(p.failed, e.Test)
	case e.Action == "pass":
		p.passed = append(p.passed, e.Test)
	}
}

func collect(runs map[string]*packageRun, build string) (Tests, error) {
	t := Tests{Output: make(map[string]string)}
	var paths []string
	for path := range runs {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		p := runs[path]
		if p.result == "" {
			return t, eris.Wrapf(ErrStream, "package %s did not end", path)
		}
		if p.result != "skip" {
			t.Packages++
		}
		t.addPackage(path, p, build)
	}
	if t.Packages == 0 {
		return t, eris.Wrapf(ErrStream, "no package was tested: %s", build)
	}
	return t, nil
}

// addPackage adds the tests of a package. A failed test that has a failed subtest is
// left out, as its subtest is reported.
func (t *Tests) addPackage(path string, p *packageRun, build string) {
	for _, name := range p.passed {
		t.Results = append(t.Results, Result{Kind: Test, Name: path + "." + name, OK: true})
	}
	for _, name := range p.failed {
		if slices.ContainsFunc(p.failed, func(o string) bool { return strings.HasPrefix(o, name+"/") }) {
			continue
		}
		t.addFailure(path+"."+name, p.outputOf(name))
	}
	if p.result == "fail" && (len(p.failed) == 0 || p.panicked()) {
		t.addFailure(path, build+p.outputOf(""))
	}
}

// panicked reports whether a panic ended the package, so that later tests did not
// run.
func (p *packageRun) panicked() bool {
	for _, b := range p.output {
		if strings.HasPrefix(b.String(), "panic: ") || strings.Contains(b.String(), "\npanic: ") {
			return true
		}
	}
	return false
}

func (t *Tests) addFailure(name, output string) {
	t.Results = append(t.Results, Result{Kind: Test, Name: name})
	t.Output[name] = output
}

func (p *packageRun) outputOf(test string) string {
	if b := p.output[test]; b != nil {
		return b.String()
	}
	return ""
}
