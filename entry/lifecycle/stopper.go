package lifecycle

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Server is a server that a planned stop ends.
type Server interface {
	// ShutdownWithContext takes no new connections, closes idle ones, and
	// returns once the others have ended or the context has.
	ShutdownWithContext(ctx context.Context) error
}

// StopConfig is what a stopper is built from.
type StopConfig struct {
	Log       logrus.FieldLogger
	Readiness *Readiness
	// NoticeTime is how long the balancer needs to see that the host is not
	// ready; the host goes on taking requests meanwhile.
	NoticeTime time.Duration
	// StopTime bounds the stop as a whole; at least NoticeTime.
	StopTime  time.Duration
	Callers   Server
	Operators Server
	// InFlight returns how many requests of callers are not answered yet.
	InFlight func() int
	// Wait waits for the duration.
	Wait func(d time.Duration)
}

// Report is what a planned stop left behind.
type Report struct {
	// InFlight is the number of requests that were cut off at the end of the
	// stop time; 0 after a stop that cut off nothing.
	InFlight int
}

// Stopper stops a host in the order that cuts off no request.
type Stopper struct {
	cfg StopConfig
}

// NewStopper returns a stopper that has done nothing yet.
func NewStopper(cfg StopConfig) *Stopper {
	return &Stopper{cfg: cfg}
}

// Stop says that the host is not ready, waits for the balancer, lets requests
// in flight end, and closes connections. It returns after the stop time at the
// latest and reports what remained.
func (s *Stopper) Stop() Report {
	s.cfg.Readiness.Stop()
	s.cfg.Log.WithField("NoticeTime", s.cfg.NoticeTime.String()).Info("not ready, waiting for the balancer")
	s.cfg.Wait(s.cfg.NoticeTime)
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StopTime-s.cfg.NoticeTime)
	defer cancel()
	var r Report
	if err := s.cfg.Callers.ShutdownWithContext(ctx); err != nil {
		r = Report{InFlight: s.cfg.InFlight()}
		s.cfg.Log.WithError(err).WithField("Remaining", r).Error("requests were still in flight at the end of the stop time")
	}
	if err := s.cfg.Operators.ShutdownWithContext(ctx); err != nil {
		s.cfg.Log.WithError(err).Warn("closing the operators' endpoint")
	}
	return r
}
