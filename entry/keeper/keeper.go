// Package keeper is the work of the duty that disturbs hosts: drains, reboots,
// moves and waves, by records in the global stream and commands to the platform.
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

// Pace of the work.
const (
	// askEvery is the least time between two questions to the platform, and
	// askEveryHost is added for each host of the last answer.
	askEvery     = 250 * time.Millisecond
	askEveryHost = 10 * time.Millisecond
	// planEveryHost is the least time between two plans for each disturbed host,
	// which bounds the processor time of a wave over the whole fleet.
	planEveryHost = time.Millisecond
	// commandsAtOnce bounds the commands that are on their way together.
	commandsAtOnce = 16
	// foldWait is how long the keeper waits to read its own records back before
	// it decides again.
	foldWait = 2 * time.Second
)

// RecordAppender adds a record to a stream of the log.
type RecordAppender interface {
	Append(ctx context.Context, stream journal.StreamID, r journal.Record) error
}

// Pools is the part of the platform that drains, reboots and admits hosts.
type Pools interface {
	DrainedHosts() ([]pool.PlatformHost, error)
	Command(c pool.Command, epoch journal.Epoch) (pool.PlatformHost, error)
}

// Config is what a keeper is built from.
type Config struct {
	Log     logrus.FieldLogger
	Name    inventory.EntryID
	State   func() follower.State
	List    func() inventory.HostList
	Records RecordAppender
	Pools   Pools
}

// Keeper is the work of the duty. What it remembers between ticks may be lost.
type Keeper struct {
	cfg     Config
	planner *pool.Planner
	// epoch is that of the last tick; another one starts everything afresh.
	epoch journal.Epoch
	told  *pool.PlatformCache
	// silent is set while the platform does not answer.
	silent bool
	// drained is the number of hosts in the platform's last answer.
	drained int
	// planned is when the last plan was made.
	planned time.Time
	// asked is when the platform was last asked.
	asked time.Time
	// waiting are the records of this keeper that were not read back yet.
	waiting []journal.RecordID
	// until ends the wait for them.
	until time.Time
}

// New returns the work of the keeper.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, planner: pool.NewPlanner(), told: pool.NewPlatformCache()}
}

// Duty returns the duty that guards the work.
func (k *Keeper) Duty() lease.Duty {
	return pool.DutyKeeper
}

// Tick sends the commands and appends the records that are due.
func (k *Keeper) Tick(ctx context.Context, now time.Time, epoch journal.Epoch) error {
	if epoch != k.epoch {
		k.epoch, k.planner, k.told = epoch, pool.NewPlanner(), pool.NewPlatformCache()
		k.asked, k.waiting = time.Time{}, nil
	}
	st := k.cfg.State()
	if st.Pools == nil || k.isWaiting(st, now) {
		return nil
	}
	if now.Sub(k.planned) < time.Duration(len(st.Pools.Active))*planEveryHost {
		return nil
	}
	k.planned = now
	in := pool.Input{Now: now, Configuration: st.Configuration, View: st.Pools, List: k.cfg.List()}
	if now.Sub(k.asked) >= askEvery+time.Duration(k.drained)*askEveryHost {
		k.ask(now)
	}
	if !k.silent {
		in.Platform = k.told.Hosts()
		k.command(ctx, now, k.planner.Commands(in))
	}
	return k.append(ctx, now, k.planner.Decisions(in))
}

// isWaiting reports whether records of the last tick are still to be read back.
func (k *Keeper) isWaiting(st follower.State, now time.Time) bool {
	left := k.waiting[:0]
	for _, id := range k.waiting {
		if _, ok := st.Verdict(id); !ok {
			left = append(left, id)
		}
	}
	k.waiting = left
	return len(left) > 0 && now.Before(k.until)
}

func (k *Keeper) ask(now time.Time) {
	k.asked = now
	hosts, err := k.cfg.Pools.DrainedHosts()
	k.silent = err != nil
	if err != nil {
		k.cfg.Log.WithError(err).Warn("asking the platform for its pools failed")
		return
	}
	k.drained = len(hosts)
	k.told.SetDrained(now, hosts)
}

// command sends commands side by side and keeps the answers. A command without
// an answer is sent again after the platform has been asked again.
func (k *Keeper) command(ctx context.Context, now time.Time, commands []pool.Command) {
	answers := make([]pool.PlatformHost, len(commands))
	var g errgroup.Group
	g.SetLimit(commandsAtOnce)
	for i, c := range commands {
		g.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			h, err := k.cfg.Pools.Command(c, k.epoch)
			if err != nil {
				k.cfg.Log.WithError(err).WithFields(logrus.Fields{"Host": c.Host, "Verb": c.Verb}).Warn("a command to the platform failed")
				return nil
			}
			answers[i] = h
			return nil
		})
	}
	_ = g.Wait()
	for _, h := range answers {
		if h.ID != "" {
			k.told.SetHost(now, h)
		}
	}
}

func (k *Keeper) append(ctx context.Context, now time.Time, decisions []pool.Decision) error {
	k.until = now.Add(foldWait)
	for _, d := range decisions {
		r, err := journal.NewRecord(journal.RecordID(uuid.NewString()), d.Kind, now, string(k.cfg.Name), d.Body)
		if err != nil {
			return err
		}
		r.Duty, r.Epoch = string(pool.DutyKeeper), k.epoch
		k.waiting = append(k.waiting, r.ID)
		if err := k.cfg.Records.Append(ctx, journal.StreamFleet, r); err != nil {
			return eris.Wrapf(err, "appending a %s record", d.Kind)
		}
	}
	return nil
}
