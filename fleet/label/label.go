// Package label implements labels and the selectors that match hosts and jobs by their
// labels.
package label

import (
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// MaxLength is the maximum length of a label name or value in bytes.
const MaxLength = 63

// MaxSelectorLength is the maximum length of a selector in bytes.
const MaxSelectorLength = 4096

// MaxTerms is the maximum number of terms in a selector.
const MaxTerms = 64

// Errors returned when a label or selector is invalid.
var (
	ErrName     = eris.New("not a label name")
	ErrValue    = eris.New("not a label value")
	ErrSelector = eris.New("not a selector")
)

// Set holds the labels of one object by name.
type Set map[string]string

// Validate returns an error for the first label, in order of names, whose name or value
// is invalid.
func (s Set) Validate() error {
	names := make([]string, 0, len(s))
	for n := range s {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		if !isName(n) {
			return eris.Wrapf(ErrName, "label %q", n)
		}
		if !isValue(s[n]) {
			return eris.Wrapf(ErrValue, "label %q has value %q", n, s[n])
		}
	}
	return nil
}

// Clone returns a copy that is independent of s.
func (s Set) Clone() Set {
	c := make(Set, len(s))
	for n, v := range s {
		c[n] = v
	}
	return c
}

// String returns the labels as Name=Value, sorted and separated by commas.
func (s Set) String() string {
	parts := make([]string, 0, len(s))
	for n, v := range s {
		parts = append(parts, n+"="+v)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

func isName(n string) bool {
	return n != "" && isValue(n)
}

func isValue(v string) bool {
	if len(v) > MaxLength {
		return false
	}
	for i := range len(v) {
		if !isLabelByte(v[i]) {
			return false
		}
	}
	return true
}

func isLabelByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.' || c == '/'
}
