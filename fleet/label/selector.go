package label

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// operator is the comparison that a term applies to a label.
type operator int

const (
	opIn operator = iota
	opNotIn
	opExists
	opAbsent
)

// term is one condition of a selector on one label.
type term struct {
	name   string
	op     operator
	values []string
}

// Selector is a conjunction of conditions on labels. The zero value matches nothing, so
// that a missing selector selects no host.
type Selector struct {
	// terms holds the conditions in the order of the text. All of them must match.
	terms []term
	// text is the source that the selector was parsed from.
	text string
}

// Parse parses a selector, which is a list of terms separated by commas. A term has one of
// the forms Name=Value, Name!=Value, "Name in (A,B)", "Name notin (A,B)", Name or !Name.
// An empty text gives the zero Selector.
func Parse(text string) (Selector, error) {
	if len(text) > MaxSelectorLength {
		return Selector{}, eris.Wrapf(ErrSelector, "%d bytes are more than %d", len(text), MaxSelectorLength)
	}
	if strings.TrimSpace(text) == "" {
		return Selector{}, nil
	}
	parts, err := splitTerms(text)
	if err != nil {
		return Selector{}, err
	}
	if len(parts) > MaxTerms {
		return Selector{}, eris.Wrapf(ErrSelector, "%d terms are more than %d", len(parts), MaxTerms)
	}
	s := Selector{text: text}
	for _, p := range parts {
		t, err := parseTerm(strings.TrimSpace(p))
		if err != nil {
			return Selector{}, err
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

// Matches reports whether the labels satisfy all terms.
func (s Selector) Matches(labels Set) bool {
	return s.MatchesFunc(func(name string) (string, bool) {
		v, ok := labels[name]
		return v, ok
	})
}

// MatchesFunc is like Matches, but reads each label through the lookup function.
func (s Selector) MatchesFunc(lookup func(name string) (string, bool)) bool {
	if len(s.terms) == 0 {
		return false
	}
	for _, t := range s.terms {
		if !t.matches(lookup) {
			return false
		}
	}
	return true
}

// IsEmpty reports whether the selector has no terms and therefore matches nothing.
func (s Selector) IsEmpty() bool {
	return len(s.terms) == 0
}

// String returns the text that the selector was parsed from.
func (s Selector) String() string {
	return s.text
}

// MarshalText returns the text that the selector was parsed from.
func (s Selector) MarshalText() ([]byte, error) {
	return []byte(s.text), nil
}

// UnmarshalText parses the selector.
func (s *Selector) UnmarshalText(b []byte) error {
	p, err := Parse(string(b))
	if err != nil {
		return err
	}
	*s = p
	return nil
}

func (t term) matches(lookup func(name string) (string, bool)) bool {
	v, ok := lookup(t.name)
	switch t.op {
	case opIn:
		return ok && slices.Contains(t.values, v)
	case opNotIn:
		return !ok || !slices.Contains(t.values, v)
	case opExists:
		return ok
	case opAbsent:
		return !ok
	}
	return false
}

// splitTerms splits the text at the commas outside parentheses.
func splitTerms(text string) ([]string, error) {
	var parts []string
	depth, start := 0, 0
	for i := range len(text) {
		switch text[i] {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, text[start:i])
				start = i + 1
			}
		}
		if depth < 0 || depth > 1 {
			return nil, eris.Wrapf(ErrSelector, "unbalanced parenthesis at byte %d of %q", i, text)
		}
	}
	if depth != 0 {
		return nil, eris.Wrapf(ErrSelector, "unclosed parenthesis in %q", text)
	}
	return append(parts, text[start:]), nil
}

func parseTerm(text string) (term, error) {
	if open := strings.IndexByte(text, '('); open >= 0 {
		return parseSetTerm(text, open)
	}
	if name, value, ok := strings.Cut(text, "!="); ok {
		return newTerm(name, opNotIn, value)
	}
	if name, value, ok := strings.Cut(text, "="); ok {
		return newTerm(name, opIn, value)
	}
	if name, ok := strings.CutPrefix(text, "!"); ok {
		return newTerm(name, opAbsent)
	}
	return newTerm(text, opExists)
}

func parseSetTerm(text string, open int) (term, error) {
	if !strings.HasSuffix(text, ")") {
		return term{}, eris.Wrapf(ErrSelector, "text behind the parenthesis in %q", text)
	}
	values := strings.Split(text[open+1:len(text)-1], ",")
	fields := strings.Fields(text[:open])
	if len(fields) != 2 {
		return term{}, eris.Wrapf(ErrSelector, "want Name in (A,B) or Name notin (A,B), have %q", text)
	}
	switch fields[1] {
	case "in":
		return newTerm(fields[0], opIn, values...)
	case "notin":
		return newTerm(fields[0], opNotIn, values...)
	}
	return term{}, eris.Wrapf(ErrSelector, "unknown word %q in %q", fields[1], text)
}

func newTerm(name string, op operator, values ...string) (term, error) {
	name = strings.TrimSpace(name)
	if !isName(name) {
		return term{}, eris.Wrapf(ErrName, "%q in a selector", name)
	}
	t := term{name: name, op: op}
	for _, v := range values {
		v = strings.TrimSpace(v)
		if !isValue(v) {
			return term{}, eris.Wrapf(ErrValue, "%q in a selector", v)
		}
		t.values = append(t.values, v)
	}
	return t, nil
}
