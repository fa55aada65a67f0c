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

// silentLog is a log whose reads wait until the test ends.
type silentLog struct {
	asked chan struct{}
	end   chan struct{}
}

func (s silentLog) Read(journal.StreamID, journal.Offset, int, time.Duration) (Batch, error) {
	s.asked <- struct{}{}
	<-s.end
	return Batch{}, ErrUncertain
}

func TestReaderEndsWhileAReadWaits(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	source := silentLog{asked: make(chan struct{}, 1), end: make(chan struct{})}
	defer close(source.end)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- NewReader(log, source, "Fleet", 0, nil).Run(ctx) }()
	<-source.asked
	cancel()
	require.NoError(t, <-ended)
}
