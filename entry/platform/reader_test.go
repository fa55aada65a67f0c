package platform

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// blockedLog is a log whose reads block until the test ends.
type blockedLog struct {
	reads chan struct{}
	end   chan struct{}
}

func (s blockedLog) Read(journal.StreamID, journal.Offset, int, time.Duration) (Batch, error) {
	s.reads <- struct{}{}
	<-s.end
	return Batch{}, ErrUncertain
}

func TestReaderEndsWhileAReadWaits(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	source := blockedLog{reads: make(chan struct{}, 1), end: make(chan struct{})}
	defer close(source.end)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- NewReader(log, source, "Fleet", 0, nil).Run(ctx) }()
	<-source.reads
	cancel()
	require.NoError(t, <-ended)
}
