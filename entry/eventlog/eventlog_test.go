package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Lines beyond the queue's bound are dropped while nothing is written to the output;
// the caller isn't blocked.
func TestLinesAreDroppedInsteadOfBlocking(t *testing.T) {
	w := NewWriter(nil)
	startedAt := time.Now()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(startedAt), 5*time.Second)
	require.EqualValues(t, 2*maxQueuedLines, w.Dropped())
}

func TestQueuedLinesAreWrittenOnShutdown(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	log := NewLogger(w, logrus.InfoLevel, "entry-1")
	log.WithField("Job", "j").Info("submit")
	log.Debug("not at this level")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 1)
	var line map[string]string
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	require.Equal(t, "submit", line["Event"])
	require.Equal(t, "entry-1", line["EntryHost"])
	require.Equal(t, "j", line["Job"])
}
