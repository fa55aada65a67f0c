package journal

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"ID":"a","Kind":"Add","Schema":1,"At":"2026-01-01T00:00:00Z","By":"e1","Body":1}`,
		`{"ID":"a","Kind":"Add","Schema":2,"Later":{}}`, `{"ID":"a"}`, `{`, "", "\x00", `{"ID":"a","Kind":"Add","Schema":1,"Epoch":"x"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err == nil {
			again, err := r.Encode()
			require.NoError(t, err)
			back, err := Decode(again)
			require.NoError(t, err)
			require.Equal(t, r.ID, back.ID)
		}
		result, err := NewStateMachine(nil, &sumReducer{}).Apply(0, raw)
		require.NoError(t, err, "every record has an outcome")
		require.NotEmpty(t, result.Outcome)
	})
}
