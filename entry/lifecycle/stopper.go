package lifecycle

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Server is a server that a planned stop shuts down.
type Server interface {
	// ShutdownWithContext stops accepting connections, closes idle ones, and returns once
	// the others or the context have ended.
	ShutdownWithContext(ctx context.Context) error
}

// StopConfig has the settings and dependencies of a Stopper.
type StopConfig struct {
	Log       logrus.FieldLogger
	Readiness *Readiness
	// NoticeTime is how long the load balancer needs to notice that the host is not ready.
	// The host still accepts requests during this time.
	NoticeTime time.Duration
	// StopTime bounds the whole stop, so it must be at least NoticeTime.
	StopTime  time.Duration
	Callers   Server
	Operators Server
	// InFlight returns how many requests of callers are not answered yet.
	InFlight func() int
	// Wait sleeps for the duration.
	Wait func(d time.Duration)
}

// Report is the outcome of a planned stop.
type Report struct {
	// InFlight is the number of requests that were aborted at the end of the stop time.
	InFlight int
}

// Stopper stops a host in an order that aborts no request, as long as all of them end
// within the stop time.
type Stopper struct {
	cfg StopConfig
}

// NewStopper returns a stopper; Stop begins the stop.
func NewStopper(cfg StopConfig) *Stopper {
	return &Stopper{cfg: cfg}
}

// Stop marks the host not ready, waits for the load balancer to notice, lets requests in
// flight finish, and closes connections. It returns within the stop time and reports the
// requests that remained.
func (s *Stopper) Stop() Report {
	s.cfg.Readiness.Stop()
	s.cfg.Log.WithField("NoticeTime", s.cfg.NoticeTime.String()).Info("host marked not ready; waiting for the load balancer")
	s.cfg.Wait(s.cfg.NoticeTime)
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StopTime-s.cfg.NoticeTime)
	defer cancel()
	var r Report
	if err := s.cfg.Callers.ShutdownWithContext(ctx); err != nil {
		r = Report{InFlight: s.cfg.InFlight()}
		s.cfg.Log.WithError(err).WithField("Remaining", r).Error("requests still in flight at the end of the stop time")
	}
	if err := s.cfg.Operators.ShutdownWithContext(ctx); err != nil {
		s.cfg.Log.WithError(err).Warn("closing the operators' endpoint failed")
	}
	return r
}
