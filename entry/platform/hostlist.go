package platform

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// hostListInterval is the pause between two polls of the host list.
const hostListInterval = 500 * time.Millisecond

// HostLister is the part of the platform that a HostListReader needs.
type HostLister interface {
	Hosts(known int64) (inventory.HostListUpdate, error)
}

// HostListReader polls the platform's host list.
type HostListReader struct {
	log    logrus.FieldLogger
	source HostLister
	out    *view.Value[inventory.HostList]
}

// NewHostListReader returns a task that publishes the host list to out.
func NewHostListReader(log logrus.FieldLogger, source HostLister, out *view.Value[inventory.HostList]) *HostListReader {
	return &HostListReader{log: log, source: source, out: out}
}

// Name returns the task's name.
func (r *HostListReader) Name() string {
	return "platform host list"
}

// Run polls until the context ends. An update that is not newer than the last list is
// ignored.
func (r *HostListReader) Run(ctx context.Context) error {
	failed := false
	for ctx.Err() == nil {
		known := r.out.Latest()
		u, err := r.source.Hosts(known.Version)
		if err != nil && !failed {
			r.log.WithError(err).Warn("reading the host list failed")
		}
		failed = err != nil
		if err == nil && u.At.After(known.At) {
			r.out.Publish(known.Apply(u))
		}
		clock.Sleep(ctx, hostListInterval)
	}
	return nil
}
