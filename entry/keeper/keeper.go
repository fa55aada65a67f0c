// Package keeper implements the duty that takes hosts out of service: drains, reboots,
// moves between pools and waves. It appends records to the fleet stream and sends commands
// to the platform.
package keeper

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// Intervals and limits of the keeper.
const (
	// listInterval is the minimum time between two listings of the drained hosts;
	// listIntervalPerHost is added for each host of the last listing.
	listInterval        = 250 * time.Millisecond
	listIntervalPerHost = 10 * time.Millisecond
	// planIntervalPerHost times the number of hosts that are not in service is the minimum
	// time between two plans. It bounds the processor time of a wave over the whole fleet.
	planIntervalPerHost = time.Millisecond
	// maxConcurrentCommands limits the commands in flight.
	maxConcurrentCommands = 16
	// readBackTimeout is how long the keeper waits to read its own records back before it
	// plans again without them.
	readBackTimeout = 2 * time.Second
)

// RecordAppender appends a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// HostClient is the part of the platform's interface that drains, reboots and admits hosts.
type HostClient interface {
	DrainedHosts() ([]pool.PlatformHost, error)
	Command(c pool.Command, epoch journal.Epoch) (pool.PlatformHost, error)
}

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Log      logrus.FieldLogger
	Name     inventory.EntryID
	State    func() follower.State
	HostList func() inventory.HostList
	Records  RecordAppender
	Pools    HostClient
}

// Keeper performs the work of the duty. Its state between ticks is a cache that may be lost.
type Keeper struct {
	cfg     Config
	planner *pool.Planner
	// epoch is the epoch of the last tick; a tick with another epoch resets the state.
	epoch journal.Epoch
	// platform caches the platform's last answer on each host.
	platform *pool.PlatformCache
	// unresponsive is set if the last listing failed; no commands are sent then.
	unresponsive bool
	// drainedCount is the number of hosts in the last listing.
	drainedCount int
	// plannedAt is when the last plan was made.
	plannedAt time.Time
	// listedAt is when the drained hosts were last listed.
	listedAt time.Time
	// unread are the keeper's own records that have not been read back yet.
	unread []journal.RecordID
	// unreadUntil is when the keeper stops waiting for them.
	unreadUntil time.Time
}

// New returns a Keeper.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, planner: pool.NewPlanner(), platform: pool.NewPlatformCache()}
}

// Duty returns the duty that guards the work.
func (k *Keeper) Duty() lease.Duty {
	return pool.DutyKeeper
}

// Tick lists the drained hosts, sends commands and appends records, each if it is due.
func (k *Keeper) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	if epoch != k.epoch {
		k.epoch, k.planner, k.platform = epoch, pool.NewPlanner(), pool.NewPlatformCache()
		k.listedAt, k.unread = time.Time{}, nil
	}
	st := k.cfg.State()
	if st.Pools == nil || k.awaitsRecords(st, now) {
		return nil
	}
	if now.Sub(k.plannedAt) < time.Duration(len(st.Pools.Active))*planIntervalPerHost {
		return nil
	}
	k.plannedAt = now
	in := pool.Input{Now: now, Configuration: st.Configuration, View: st.Pools, List: k.cfg.HostList()}
	if now.Sub(k.listedAt) >= listInterval+time.Duration(k.drainedCount)*listIntervalPerHost {
		k.listDrained(now)
	}
	if !k.unresponsive {
		in.Platform = k.platform.Hosts()
		k.command(ctx, now, k.planner.Commands(in))
	}
	return k.append(ctx, now, k.planner.Decisions(in))
}

// awaitsRecords reports whether the keeper still waits to read back records of the last
// tick.
func (k *Keeper) awaitsRecords(st follower.State, now time.Time) bool {
	unread := k.unread[:0]
	for _, id := range k.unread {
		if _, ok := st.ResultOf(id); !ok {
			unread = append(unread, id)
		}
	}
	k.unread = unread
	return len(unread) > 0 && now.Before(k.unreadUntil)
}

func (k *Keeper) listDrained(now time.Time) {
	k.listedAt = now
	hosts, err := k.cfg.Pools.DrainedHosts()
	k.unresponsive = err != nil
	if err != nil {
		k.cfg.Log.WithError(err).Warn("listing the drained hosts of the platform failed")
		return
	}
	k.drainedCount = len(hosts)
	k.platform.SetDrained(now, hosts)
}

// command sends commands concurrently and caches the answers. A command without an answer
// is sent again after the next listing.
func (k *Keeper) command(ctx context.Context, now time.Time, commands []pool.Command) {
	answers := make([]pool.PlatformHost, len(commands))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCommands)
	for i, c := range commands {
		g.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			h, err := k.cfg.Pools.Command(c, k.epoch)
			if err != nil {
				k.cfg.Log.WithError(err).WithFields(logrus.Fields{"Host": c.Host, "Verb": c.Verb}).Warn("sending a command to the platform failed")
				return nil
			}
			answers[i] = h
			return nil
		})
	}
	_ = g.Wait()
	for _, h := range answers {
		if h.ID != "" {
			k.platform.SetHost(now, h)
		}
	}
}

func (k *Keeper) append(ctx context.Context, now time.Time, decisions []pool.Decision) error {
	k.unreadUntil = now.Add(readBackTimeout)
	for _, d := range decisions {
		r, err := journal.NewRecord(journal.RecordID(uuid.NewString()), d.Kind, now, string(k.cfg.Name), d.Body)
		if err != nil {
			return err
		}
		r.Duty, r.Epoch = string(pool.DutyKeeper), k.epoch
		k.unread = append(k.unread, r.ID)
		if err := k.cfg.Records.Append(ctx, journal.StreamFleet, r); err != nil {
			return eris.Wrapf(err, "appending a %s record", d.Kind)
		}
	}
	return nil
}
