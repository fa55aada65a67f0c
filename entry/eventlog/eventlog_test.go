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

// Lines about the host itself, such as a takeover, are written although lines about jobs
// exceed the queue or the rate.
func TestJobLinesLeaveRoomForOthers(t *testing.T) {
	const jobLine, hostLine = "{\"Event\":\"run ended\",\"Job\":\"j\"}\n", "{\"Event\":\"takeover complete\"}\n"
	write := func(t *testing.T, w *Writer, line string, n int) {
		t.Helper()
		for range n {
			_, err := w.Write([]byte(line))
			require.NoError(t, err)
		}
	}
	t.Run("queue", func(t *testing.T) {
		var out bytes.Buffer
		w := NewWriter(&out)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 4 {
			write(t, w, jobLine, maxQueuedLines)
			write(t, w, hostLine, reservedLines/4)
		}
		w.Run(ctx)
		require.Equal(t, maxQueuedLines-reservedLines, strings.Count(out.String(), jobLine))
		require.Equal(t, reservedLines, strings.Count(out.String(), hostLine))
		require.EqualValues(t, 3*maxQueuedLines+reservedLines, w.Dropped())
	})
	t.Run("rate", func(t *testing.T) {
		const rounds = 8
		var out bytes.Buffer
		w := NewWriter(&out)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { w.Run(ctx); close(ended) }()
		for range rounds {
			write(t, w, jobLine, 2*maxLinesPerSecond/rounds)
			write(t, w, hostLine, 1)
			time.Sleep(flushInterval + flushInterval/10)
		}
		cancel()
		<-ended
		require.Equal(t, rounds, strings.Count(out.String(), hostLine))
		require.Positive(t, w.Dropped())
	})
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
