package metric

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTextFormatSeparatesLabels(t *testing.T) {
	r := NewRegistry()
	r.Count("requests", 2, Label{"tenant", "A"}, Label{"outcome", "Answered"})
	r.Count("requests", 1, Label{"tenant", `B"}`})
	r.Gauge("version", 7)
	for range 3 {
		r.Observe("wait_microseconds", 5*time.Millisecond, Label{"class", "Urgent"})
	}
	var b strings.Builder
	require.NoError(t, r.WriteText(&b))
	for _, line := range []string{
		`requests{tenant="A",outcome="Answered"} 2`,
		`requests{tenant="B\"}"} 1`,
		`version 7`,
		`wait_microseconds{class="Urgent",quantile="0.99"} 5000`,
		`wait_microseconds_count{class="Urgent"} 3`,
	} {
		require.Contains(t, b.String(), line+"\n")
	}
}
