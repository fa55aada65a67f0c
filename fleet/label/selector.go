package label

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// operator is how a term compares a label.
type operator int

const (
	opIn operator = iota
	opNotIn
	opExists
	opAbsent
)

// term is one condition of a selector.
type term struct {
	name   string
	op     operator
	values []string
}

// Selector is a conjunction of conditions on labels. The zero value matches
// nothing, so that a forgotten selector claims no host.
type Selector struct {
	// terms are in the order they were written; all must hold.
	terms []term
	// text is what the selector was parsed from.
	text string
}

// Parse reads a selector: terms joined by commas, each of the forms
// Name=Value, Name!=Value, "Name in (A,B)", "Name notin (A,B)", Name, !Name.
func Parse(text string) (Selector, error) {
	if len(text) > MaxSelectorLength {
		return Selector{}, eris.Wrapf(ErrSelector, "%d bytes are more than %d", len(text), MaxSelectorLength)
	}
	if strings.TrimSpace(text) == "" {
		return Selector{}, nil
	}
	parts, err := split(text)
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

// Matches reports whether all terms hold for the labels.
func (s Selector) Matches(labels Set) bool {
	return s.MatchesLookup(func(name string) (string, bool) {
		v, ok := labels[name]
		return v, ok
	})
}

// MatchesLookup is Matches for labels that are read by a function.
func (s Selector) MatchesLookup(lookup func(name string) (string, bool)) bool {
	if len(s.terms) == 0 {
		return false
	}
	for _, t := range s.terms {
		if !t.holds(lookup) {
			return false
		}
	}
	return true
}

// IsEmpty reports whether the selector has no term and so matches nothing.
func (s Selector) IsEmpty() bool {
	return len(s.terms) == 0
}

// String returns the text that the selector was parsed from.
func (s Selector) String() string {
	return s.text
}

// MarshalText writes the selector as it was parsed.
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

func (t term) holds(lookup func(name string) (string, bool)) bool {
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

// split cuts at the commas that stand outside parentheses.
func split(text string) ([]string, error) {
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
	head := strings.Fields(text[:open])
	if len(head) != 2 {
		return term{}, eris.Wrapf(ErrSelector, "want Name in (A,B) or Name notin (A,B), have %q", text)
	}
	switch head[1] {
	case "in":
		return newTerm(head[0], opIn, values...)
	case "notin":
		return newTerm(head[0], opNotIn, values...)
	}
	return term{}, eris.Wrapf(ErrSelector, "unknown word %q in %q", head[1], text)
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
