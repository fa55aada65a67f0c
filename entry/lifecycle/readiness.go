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

// Readiness says whether the balancer may send callers to this host. It is safe
// for concurrent use.
type Readiness struct {
	mu sync.Mutex
	// reason is empty exactly when the host is ready.
	reason string
	// stopping never becomes false again.
	stopping bool
}

// reasonStopping is the reason of a host that stops.
const reasonStopping = "stopping"

// NewReadiness returns a readiness that is not ready for the reason.
func NewReadiness(reason string) *Readiness {
	return &Readiness{reason: reason}
}

// Set changes the reason; an empty one means ready. It has no effect on a host
// that stops.
func (r *Readiness) Set(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopping {
		r.reason = reason
	}
}

// Stop makes the host not ready for good.
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

// Reason returns why the host is not ready, or an empty text.
func (r *Readiness) Reason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// Starter makes a host ready once it has a configuration and a host list.
type Starter struct {
	log       logrus.FieldLogger
	readiness *Readiness
	state     *view.Box[follower.State]
	hosts     *view.Box[inventory.HostList]
	checks    []Check
}

// Check returns why a host with the state is not ready yet, or an empty text.
type Check func(st follower.State) string

// checkEvery is the time after which checks are made again at the latest.
const checkEvery = 200 * time.Millisecond

// NewStarter returns a task that ends once the host is ready and passes the
// checks.
func NewStarter(log logrus.FieldLogger, r *Readiness, state *view.Box[follower.State], hosts *view.Box[inventory.HostList], checks ...Check) *Starter {
	return &Starter{log: log, readiness: r, state: state, hosts: hosts, checks: checks}
}

// Name returns the task's name.
func (s *Starter) Name() string {
	return "start"
}

// Run waits for state and sets the readiness once.
func (s *Starter) Run(ctx context.Context) error {
	for {
		st, stateChanged := s.state.Watch()
		l, listChanged := s.hosts.Watch()
		why := s.missing(st, l)
		if why == "" {
			s.readiness.Set("")
			s.log.WithField("Version", st.Configuration.Version).Info("ready")
			return nil
		}
		s.readiness.Set(why)
		select {
		case <-stateChanged:
		case <-listChanged:
		case <-time.After(checkEvery):
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Starter) missing(st follower.State, l inventory.HostList) string {
	switch {
	case st.Next == 0:
		return "no configuration was read from the log yet"
	case st.Next < st.End:
		return "the log is not read to its end yet"
	case l.At.IsZero():
		return "no host list was read yet"
	}
	for _, check := range s.checks {
		if why := check(st); why != "" {
			return why
		}
	}
	return ""
}
