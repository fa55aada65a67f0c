package label

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSelectorMatches(t *testing.T) {
	labels := Set{"Pool": "Prices", "Rack": "r1", "Empty": ""}
	tests := map[string]bool{
		"":                               false,
		"  ":                             false,
		"Pool=Prices":                    true,
		"Pool=Stock":                     false,
		"Pool!=Stock":                    true,
		"Pool!=Prices":                   false,
		"Missing!=x":                     true,
		"Pool":                           true,
		"!Pool":                          false,
		"!Missing":                       true,
		"Empty=":                         true,
		"Pool in (Stock, Prices)":        true,
		"Pool notin (Stock,Prices)":      false,
		"Pool=Prices,Rack=r1":            true,
		"Pool=Prices, Rack in (r2,r3)":   false,
		"Pool in (Prices),Rack notin ()": true,
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			s, err := Parse(text)
			require.NoError(t, err)
			require.Equal(t, want, s.Matches(labels))
		})
	}
}

func TestParseRejectsInvalidSelectors(t *testing.T) {
	tests := map[string]error{
		",":                ErrName,
		"Pool=a b":         ErrValue,
		"Pool in (a":       ErrSelector,
		"Pool in a)":       ErrSelector,
		"Pool in ((a))":    ErrSelector,
		"Pool of (a)":      ErrSelector,
		"Pool in (a) more": ErrSelector,
		"in (a)":           ErrSelector,
		"=a":               ErrName,
		"Pool=\x00":        ErrValue,
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			_, err := Parse(text)
			require.ErrorIs(t, err, want)
		})
	}
}

func FuzzSelector(f *testing.F) {
	for _, s := range []string{"Pool=Prices", "a in (b,c),!d", "a notin ()", "((", "a!=b", "\xff=", "a=b=c"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		b, err := s.MarshalText()
		require.NoError(t, err)
		reparsed, err := Parse(string(b))
		require.NoError(t, err, "the text of a parsed selector must parse")
		labels := Set{"Pool": "Prices", "a": "b"}
		require.Equal(t, s.Matches(labels), reparsed.Matches(labels))
	})
}
