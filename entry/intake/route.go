package intake

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// rejectionLogInterval is the shortest time between two log lines about calls without a valid key, as
// a caller with a wrong key may repeat it at any rate. A counter has all of them.
const rejectionLogInterval = time.Second

// Route is where a request leads and on whose behalf, all by one configuration.
type Route struct {
	Queue queue.Queue
	// Rest is the path after the queue's prefix.
	Rest string
	// Version is the configuration's.
	Version int64
	// Workspace is that of the request's key. It is empty for a call to a public queue, and if no
	// keys are required.
	Workspace workspace.Name
}

// maySee reports whether the request may read the state of a job. A job without a workspace may be read by all
// that may call its queue, and so may any job of a queue that has become public: its callers need no key any more.
func (r Route) maySee(a relay.StateAnswer) bool {
	return a.Workspace == "" || a.Workspace == r.Workspace || r.Queue.Public
}

// addWorkspace adds the workspace, if there is one, to the fields of a log line.
func (r Route) addWorkspace(fields logrus.Fields) {
	if r.Workspace != "" {
		fields["Workspace"] = string(r.Workspace)
	}
}

// Route returns the route of a request with a key, which is empty if the request has none. The error is
// ErrNoQueue or ErrUnauthorized only if the newest configuration has no such queue or key.
func (in *Intake) Route(ctx context.Context, host, path string, key []byte) (Route, error) {
	if c := in.cfg.Follower.EnsureRecent(ctx); c != nil {
		if r, err := in.match(c, host, path, key); err == nil && in.isKeyCurrent(r) {
			return r, nil
		}
	}
	c, isNewest := in.cfg.Follower.EnsureFresh(ctx)
	if c == nil {
		return Route{}, eris.Wrap(ErrNotAccepted, "no configuration yet")
	}
	r, err := in.match(c, host, path, key)
	switch {
	case err == nil && in.isKeyCurrent(r):
		return r, nil
	case err == nil:
		in.countWorkspace("authenticate", "not accepted", r.Workspace)
		return r, eris.Wrapf(ErrNotAccepted, "the keys of version %d may be old", r.Version)
	case !isNewest:
		return r, eris.Wrapf(ErrNotAccepted, "%s in version %d, which may be old", err, c.Version)
	}
	in.recordRefused(r, err)
	return r, eris.Wrapf(err, "version %d", c.Version)
}

// match returns the route of a request by a configuration. The error is ErrNoQueue or ErrUnauthorized.
func (in *Intake) match(c *queue.Configuration, host, path string, key []byte) (Route, error) {
	q, rest, ok := c.Match(host, path)
	r := Route{Queue: q, Rest: rest, Version: c.Version}
	if !ok {
		return r, ErrNoQueue
	}
	if q.Public || !in.cfg.RequireKeys && c.Workspaces.Len() == 0 {
		return r, nil
	}
	if r.Workspace, ok = c.Workspaces.Authenticate(key); !ok {
		return r, ErrUnauthorized
	}
	return r, nil
}

// isKeyCurrent reports whether this host may accept the key of a route: it needs none, or it can't have been removed
// longer than MaxKeyAge ago.
func (in *Intake) isKeyCurrent(r Route) bool {
	return r.Workspace == "" || in.cfg.MaxKeyAge <= 0 || in.cfg.Follower.Age(in.cfg.Now()) <= in.cfg.MaxKeyAge
}

// recordRefused counts and logs a request without a queue or a valid key.
func (in *Intake) recordRefused(r Route, err error) {
	outcome := "no queue"
	if errors.Is(err, ErrUnauthorized) {
		outcome = "unauthorized"
	}
	in.cfg.Metrics.Count("requests", 1, metric.Label{Name: "Kind", Value: "route"}, metric.Label{Name: "Outcome", Value: outcome})
	now := in.cfg.Now()
	last := in.refusedLoggedAt.Load()
	if last != nil && now.Sub(*last) < rejectionLogInterval || !in.refusedLoggedAt.CompareAndSwap(last, &now) {
		return
	}
	in.cfg.Log.WithFields(logrus.Fields{"Queue": r.Queue.Name, "Version": r.Version, "Outcome": outcome}).Info("request refused")
}

// countWorkspace counts a request of a workspace, if it has one.
func (in *Intake) countWorkspace(kind, outcome string, name workspace.Name) {
	if name == "" {
		return
	}
	in.cfg.Metrics.Count("workspace_requests", 1, in.cfg.Workspaces.Label("Workspace", string(name)),
		metric.Label{Name: "Kind", Value: kind}, metric.Label{Name: "Outcome", Value: outcome})
}
