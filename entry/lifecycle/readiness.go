// Package lifecycle decides when a host is ready for callers and how it stops.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Readiness tracks whether the load balancer may send callers to this host. It is safe for
// concurrent use.
type Readiness struct {
	mu sync.Mutex
	// reason is why the host is not ready; empty if it is.
	reason string
	// stopping is true from the start of a planned stop on; it is never reset.
	stopping bool
}

// reasonStopping is the reason of a host that stops.
const reasonStopping = "stopping"

// NewReadiness returns a Readiness that is not ready for the given reason.
func NewReadiness(reason string) *Readiness {
	return &Readiness{reason: reason}
}

// Set changes the reason; an empty one means ready. It has no effect once a stop has begun.
func (r *Readiness) Set(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopping {
		r.reason = reason
	}
}

// Stop makes the host permanently not ready.
func (r *Readiness) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.reason = reasonStopping
}

// IsStopping reports whether a planned stop has begun.
func (r *Readiness) IsStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// Reason returns why the host is not ready, or an empty string if it is.
func (r *Readiness) Reason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// Starter makes a host ready once it has a configuration and a host list and passes the
// checks.
type Starter struct {
	log       logrus.FieldLogger
	readiness *Readiness
	state     *view.Value[follower.State]
	hosts     *view.Value[inventory.HostList]
	checks    []Check
}

// Check returns why a host with the state is not ready yet, or an empty string.
type Check func(st follower.State) string

// checkInterval is the longest time until the checks run again.
const checkInterval = 200 * time.Millisecond

// NewStarter returns a task that ends once the host is ready.
func NewStarter(log logrus.FieldLogger, r *Readiness, state *view.Value[follower.State], hosts *view.Value[inventory.HostList], checks ...Check) *Starter {
	return &Starter{log: log, readiness: r, state: state, hosts: hosts, checks: checks}
}

// Name returns the task's name.
func (s *Starter) Name() string {
	return "start"
}

// Run updates the reason until the host is ready, then returns.
func (s *Starter) Run(ctx context.Context) error {
	for {
		st, stateChanged := s.state.Watch()
		l, listChanged := s.hosts.Watch()
		reason := s.notReadyReason(st, l)
		if reason == "" {
			s.readiness.Set("")
			s.log.WithField("Version", st.Configuration.Version).Info("ready")
			return nil
		}
		s.readiness.Set(reason)
		select {
		case <-stateChanged:
		case <-listChanged:
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Starter) notReadyReason(st follower.State, l inventory.HostList) string {
	switch {
	case st.Next == 0:
		return "no configuration was read from the log yet"
	case st.Next < st.End:
		return "the log is not read to its end yet"
	case l.At.IsZero():
		return "no host list was read yet"
	}
	for _, check := range s.checks {
		if reason := check(st); reason != "" {
			return reason
		}
	}
	return ""
}
