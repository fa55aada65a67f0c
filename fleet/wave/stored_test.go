package wave

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Snapshots outlive a version of the program, so the stored names of a wave's progress must
// not follow renames in the code.
func TestStoredJSON(t *testing.T) {
	p := Progress{
		Pass: 1, Started: time.Unix(2, 0).UTC(), Finished: time.Unix(4, 0).UTC(), Forecast: time.Unix(3, 0).UTC(),
		Rebooted: map[inventory.HostID]struct{}{"h": {}}, Admitted: 5, TotalDowntime: 6 * time.Nanosecond,
	}
	want := `{"Pass":1,"Started":"1970-01-01T00:00:02Z","Finished":"1970-01-01T00:00:04Z",` +
		`"Forecast":"1970-01-01T00:00:03Z","Rebooted":{"h":{}},"Admitted":5,"Away":6}`
	b, err := json.Marshal(p)
	require.NoError(t, err)
	require.Equal(t, want, string(b))
	var decoded Progress
	require.NoError(t, json.Unmarshal([]byte(want), &decoded))
	require.Equal(t, p, decoded)
}
