// Package known reads the list of known failures and decides which failures of a
// run it permits.
package known

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrSyntax is returned for a malformed list. The error names the line.
var ErrSyntax = eris.New("not a list of known failures")

// maxLine is the maximum length of a line, in bytes.
const maxLine = 500

// Kind is the kind of a known failure.
type Kind string

// The kinds of entries.
const (
	// Figure is a bench figure outside its bound.
	Figure Kind = "figure"
	// Test is a test that always fails.
	Test Kind = "test"
	// Flaky is a test that fails in some runs.
	Flaky Kind = "flaky"
	// Day is a simulated day on the users' bench on which a rule was violated. The gate
	// can't run such days, so these entries permit no failure.
	Day Kind = "day"
)

// commandPrefixes holds the required start of the command for each kind.
var commandPrefixes = map[Kind]string{Figure: "go ", Test: "go ", Flaky: "go ", Day: "fleetbench "}

// Entry is one known failure.
type Entry struct {
	Kind Kind
	// Name is the figure's name, PACKAGE.TEST for a test, or DEPLOYMENT/DAY for a day.
	Name    string
	Command string
	Seed    uint64
	// Seen describes the observed failure in a few words.
	Seen string
	// Issue is the number of the issue that tracks the fix.
	Issue int
}

// String returns the entry in the format of the list.
func (e Entry) String() string {
	return strings.Join([]string{
		string(e.Kind) + " " + e.Name, e.Command, "seed " + strconv.FormatUint(e.Seed, 10), "seen " + e.Seen, "issue " + strconv.Itoa(e.Issue),
	}, " | ")
}

// Read reads the list at the path. An empty path gives an empty list.
func Read(path string) ([]Entry, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the list of known failures")
	}
	defer f.Close()
	return Parse(f)
}

// Parse reads a list with one entry per line and fields separated by " | ". It
// ignores empty lines and lines that begin with #, and rejects a second entry of the
// same name and seed.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	seen := make(map[string]bool)
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, maxLine), maxLine)
	n := 0
	for s.Scan() {
		n++
		text := s.Text()
		if strings.TrimSpace(text) == "" || strings.HasPrefix(text, "#") {
			continue
		}
		e, err := parseEntry(text)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", n)
		}
		key := e.Name + " " + strconv.FormatUint(e.Seed, 10)
		if seen[key] {
			return nil, eris.Wrapf(ErrSyntax, "line %d: %s stands twice", n, e.Name)
		}
		seen[key] = true
		entries = append(entries, e)
	}
	if err := s.Err(); err != nil {
		return nil, eris.Wrapf(ErrSyntax, "line %d: %s", n+1, err)
	}
	return entries, nil
}

func parseEntry(text string) (Entry, error) {
	fields := strings.Split(text, " | ")
	if len(fields) != 5 {
		return Entry{}, eris.Wrapf(ErrSyntax, "want 5 fields between \" | \", have %d", len(fields))
	}
	kind, name, ok := strings.Cut(fields[0], " ")
	e := Entry{Kind: Kind(kind), Name: name, Command: fields[1]}
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return e, eris.Wrapf(ErrSyntax, "%q is not a kind and a name", fields[0])
	}
	prefix, ok := commandPrefixes[e.Kind]
	if !ok {
		return e, eris.Wrapf(ErrSyntax, "kind %q is not figure, test, flaky or day", kind)
	}
	if !strings.HasPrefix(e.Command, prefix) {
		return e, eris.Wrapf(ErrSyntax, "%q is not a %scommand", e.Command, prefix)
	}
	seed, err := strconv.ParseUint(strings.TrimPrefix(fields[2], "seed "), 10, 64)
	if err != nil || !strings.HasPrefix(fields[2], "seed ") {
		return e, eris.Wrapf(ErrSyntax, "%q is not seed and a number", fields[2])
	}
	e.Seed = seed
	if e.Seen, ok = strings.CutPrefix(fields[3], "seen "); !ok || strings.TrimSpace(e.Seen) == "" {
		return e, eris.Wrapf(ErrSyntax, "%q does not tell what was seen", fields[3])
	}
	e.Issue, err = strconv.Atoi(strings.TrimPrefix(fields[4], "issue "))
	if err != nil || e.Issue < 1 || !strings.HasPrefix(fields[4], "issue ") {
		return e, eris.Wrapf(ErrSyntax, "%q is not issue and a number", fields[4])
	}
	return e, nil
}
