package configuration

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzParseChange(f *testing.F) {
	for _, s := range []string{
		`{"Base":1,"Set":{"Teams":{"T":{"Owner":"Corchos","Weight":2}}},"Delete":["Pool/A"]}`,
		`{"Set":{"Pools":{"A":{"Owner":"Corchos","Hosts":"Pool in (A,B)","Budget":{"MaxUnavailable":100000}}}}}`,
		`{"Set":{"Waves":{"W":{"Window":"4h","Start":"22h"}}}}`,
		`{"Delete":["Pool"]}`, `{"Delete":["Nothing/A"]}`, `[]`, `null`, ``, `{"Base":-9223372036854775808}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := ParseChange(b)
		if err != nil {
			return
		}
		var cfg Configuration
		next, err := cfg.Apply(c, 1)
		if err != nil {
			require.Equal(t, cfg, next, "a rejected change must not modify the configuration")
			return
		}
		encoded, err := json.Marshal(next)
		require.NoError(t, err)
		var again Configuration
		require.NoError(t, json.Unmarshal(encoded, &again))
		require.NoError(t, again.Validate(), "an accepted configuration must still be valid after encoding and decoding")
	})
}
