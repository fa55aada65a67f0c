package lifecycle

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// recorder records the steps of a stop in order.
type recorder struct{ steps []string }

type server struct {
	name string
	rec  *recorder
	// stuck is true for a server with a request that never ends.
	stuck bool
}

func (s *server) ShutdownWithContext(ctx context.Context) error {
	s.rec.steps = append(s.rec.steps, s.name)
	if !s.stuck {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func TestStopper(t *testing.T) {
	tests := []struct {
		name  string
		stuck bool
		want  Report
	}{
		{"nothing in flight", false, Report{}},
		{"a request that never ends is reported", true, Report{InFlight: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			rec := &recorder{}
			r := NewReadiness("")
			s := NewStopper(StopConfig{
				Log: log, Readiness: r, NoticeTime: time.Millisecond, StopTime: 2 * time.Millisecond,
				Callers: &server{"callers", rec, test.stuck}, Operators: &server{"operators", rec, false},
				InFlight: func() int { return 1 },
				Wait: func(time.Duration) {
					require.True(t, r.IsStopping())
					rec.steps = append(rec.steps, "notice")
				},
			})
			require.Equal(t, test.want, s.Stop())
			require.Equal(t, []string{"notice", "callers", "operators"}, rec.steps)
		})
	}
}

func TestReadinessIsPermanentlyLostAfterAStop(t *testing.T) {
	r := NewReadiness("starting")
	r.Stop()
	r.Set("")
	require.Equal(t, reasonStopping, r.Reason())
}
