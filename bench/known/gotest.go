package known

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrStream is returned for output that is not that of a whole `go test -json`.
var ErrStream = eris.New("not the whole output of go test -json")

// maxEvent is the longest event of go test, in bytes.
const maxEvent = 4 << 20

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Tests is what a run of go test did.
type Tests struct {
	// Verdicts has one entry for each test, and one with the bare package path
	// for each package that failed without a failed test.
	Verdicts []Verdict
	// Output has the output of each failed test by its name.
	Output map[string]string
	// Packages counts packages that have tests.
	Packages int
}

// packageRun is what is known of one package while its events are read.
type packageRun struct {
	output map[string]*strings.Builder
	failed []string
	passed []string
	// end is pass, fail or skip; empty until the package has ended.
	end string
}

// ReadTests reads the output of go test -json. Lines that are no events are the
// output of the build.
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
		p.end = e.Action
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
		if p.end == "" {
			return t, eris.Wrapf(ErrStream, "package %s did not end", path)
		}
		if p.end != "skip" {
			t.Packages++
		}
		t.add(path, p, build)
	}
	if t.Packages == 0 {
		return t, eris.Wrapf(ErrStream, "no package was tested: %s", build)
	}
	return t, nil
}

// add adds the tests of a package. A test that failed only because a part of it
// did is not told besides its part.
func (t *Tests) add(path string, p *packageRun, build string) {
	for _, name := range p.passed {
		t.Verdicts = append(t.Verdicts, Verdict{Kind: Test, Name: path + "." + name, OK: true})
	}
	for _, name := range p.failed {
		if slices.ContainsFunc(p.failed, func(o string) bool { return strings.HasPrefix(o, name+"/") }) {
			continue
		}
		t.fail(path+"."+name, p.text(name))
	}
	if p.end == "fail" && (len(p.failed) == 0 || p.panicked()) {
		t.fail(path, build+p.text(""))
	}
}

// panicked reports whether the package ended early, so that tests behind the
// panic were not run.
func (p *packageRun) panicked() bool {
	for _, b := range p.output {
		if strings.HasPrefix(b.String(), "panic: ") || strings.Contains(b.String(), "\npanic: ") {
			return true
		}
	}
	return false
}

func (t *Tests) fail(name, output string) {
	t.Verdicts = append(t.Verdicts, Verdict{Kind: Test, Name: name})
	t.Output[name] = output
}

func (p *packageRun) text(test string) string {
	if b := p.output[test]; b != nil {
		return b.String()
	}
	return ""
}
