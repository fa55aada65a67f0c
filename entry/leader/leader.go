package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/election"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// ErrFenced says that another host is the owner.
var ErrFenced = eris.New("another host is the owner")

// ErrStopped says that the owner has stopped and answers no more.
var ErrStopped = eris.New("the owner has stopped")

const (
	// producer is the name under which owners append progress.
	producer = "Progress"
	// tickEvery is the longest between two looks at what is due by time.
	tickEvery = 10 * time.Millisecond
	// commitDelay is how long a commit waits for more ends of runs. Workers list them
	// until they are stored, and the next hold waits for that.
	commitDelay = 12 * time.Millisecond
	// readWait is how long a read of a stream waits for a record. It bounds for how long
	// a connection that went silent goes unnoticed.
	readWait = time.Second
	// retryPause follows a call that failed.
	retryPause = 100 * time.Millisecond
	// listEvery is how often hosts are listed; listBusy while orders are under way.
	listEvery = time.Second
	// maxQueuedEvents bounds the events that wait for the scheduler.
	maxQueuedEvents = 4096
	// forgetEvery is how often jobs that ended are forgotten.
	forgetEvery = 2 * time.Second
	// forgetBatch bounds the keys that are dropped in one append.
	forgetBatch = 400
)

// Config is what a leader is built from.
type Config struct {
	Self    relay.Peer
	Store   store.Store
	Workers Workers
	Hosts   Hosts
	Adviser Adviser
	Decoder Decoder
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	// Now is the clock on which leases are judged, Wall the time of day in Unix
	// milliseconds.
	Now  func() time.Time
	Wall func() int64
	// Scheduling holds the bounds; epoch and term are set for each ownership.
	Scheduling scheduling.Config
	// Published is told of each configuration that is read, before it is acted on.
	Published func(c *queue.Configuration)
	// Peers are told to all hosts with each sign of life.
	Peers func() []relay.Peer
}

// event is something that the scheduler is told on its task.
type event func(s *scheduling.Scheduler, now time.Time, wall int64)

// Leader runs the scheduler during one ownership.
type Leader struct {
	cfg         Config
	epoch       int64
	term        int64
	log         logrus.FieldLogger
	events      chan event
	done        chan struct{}
	callQueues  *callQueues
	heartbeater *election.Heartbeater
	// committing is set while a commit is out; it belongs to the scheduler's task.
	committing bool
	// commitAt is when the open commit is sent at the latest.
	commitAt time.Time
	commits  chan scheduling.Commit
	// relist asks for a list of hosts before its time.
	relist chan struct{}
	// workNext is the offset up to which the work was handed on.
	workNext atomic.Int64
	// isSuperseded is set once a later owner's mark was read.
	isSuperseded atomic.Bool
}

// New returns the leader of one epoch.
func New(cfg Config, epoch, term int64) *Leader {
	l := &Leader{
		cfg: cfg, epoch: epoch, term: term,
		log:     cfg.Log.WithField("Epoch", epoch),
		events:  make(chan event, maxQueuedEvents),
		done:    make(chan struct{}),
		commits: make(chan scheduling.Commit, 1),
		relist:  make(chan struct{}, 1),
	}
	l.callQueues = newCallQueues(l)
	l.heartbeater = &election.Heartbeater{
		Epoch: epoch, Term: term, Self: cfg.Self, Store: cfg.Store, Log: l.log, Now: cfg.Now, Peers: cfg.Peers,
		Confirmed: func(sentAt time.Time) {
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.ConfirmLeadership(sentAt) })
		},
	}
	return l
}

// enqueue hands an event to the scheduler's task, unless it has ended.
func (l *Leader) enqueue(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// Run owns until the context ends or another owner is met. An owner that stops as
// planned says so, that the next one need not wait.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	began := l.cfg.Now()
	g, gctx := errgroup.WithContext(ctx)
	// The heartbeats begin before all else: a slow store must not let others claim meanwhile.
	g.Go(func() error { return l.heartbeater.Run(gctx) })
	g.Go(func() error { return l.lead(gctx, g, began) })
	err := g.Wait()
	if errors.Is(err, store.ErrFenced) {
		return eris.Wrap(ErrFenced, err.Error())
	}
	if ctx.Err() != nil || errors.Is(err, election.ErrStrongerPeer) {
		return errors.Join(err, l.release(ctx.Err() != nil))
	}
	return err
}

// lead takes over and starts the owner's tasks.
func (l *Leader) lead(ctx context.Context, g *errgroup.Group, began time.Time) error {
	barrier, err := l.takeOver(ctx)
	if err != nil {
		return err
	}
	sch, from, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.workNext.Store(barrier + 1)
	l.log.WithFields(logrus.Fields{"TookMs": l.cfg.Now().Sub(began).Milliseconds(), "Barrier": barrier}).Info("took over")
	g.Go(func() error { return l.tailWork(ctx, barrier+1) })
	g.Go(func() error { return l.tailWorkers(ctx, from.workers) })
	g.Go(func() error { return l.tailOperator(ctx, from.operator) })
	g.Go(func() error { return l.listHosts(ctx) })
	g.Go(func() error { return l.commit(ctx) })
	g.Go(func() error { return l.loop(ctx, sch) })
	return nil
}

// release tells the other hosts that this owner has stopped.
func (l *Leader) release(stopping bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return l.heartbeater.Release(ctx, stopping)
}

// takeOver shuts out the owner before and marks the place in the order of work. Each
// of its appends is needed before anything is loaded; their order doesn't matter.
func (l *Leader) takeOver(ctx context.Context) (int64, error) {
	b, err := json.Marshal(l.epoch)
	if err != nil {
		return 0, eris.Wrap(err, "encode the mark")
	}
	var barrier int64
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.fence(ctx, store.Progress, producer) })
	g.Go(func() error { return l.fence(ctx, store.Leader, election.Producer) })
	g.Go(func() error {
		res, err := l.persist(ctx, store.Append{Stream: store.Work, Records: []store.Record{{Key: keyLeader, Value: b}}})
		barrier = res.Offset
		return eris.Wrap(err, "mark the work")
	})
	err = g.Wait()
	return barrier, err
}

// fence shuts out the appends of earlier owners to a stream.
func (l *Leader) fence(ctx context.Context, stream store.Stream, name string) error {
	_, err := l.persist(ctx, store.Append{Stream: stream, Fence: &store.Fence{Producer: name, Epoch: l.epoch}})
	return eris.Wrapf(err, "fence %s", stream)
}

// persist repeats an append that may be repeated until it is answered.
func (l *Leader) persist(ctx context.Context, a store.Append) (store.Appended, error) {
	for {
		res, err := l.cfg.Store.Append(ctx, a)
		switch {
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown):
			l.log.WithFields(logrus.Fields{"Stream": string(a.Stream), "Error": err.Error()}).Debug("append repeated")
		default:
			return res, err
		}
		if !clock.Pause(ctx, retryPause) {
			return res, ctx.Err()
		}
	}
}

// loop is the scheduler's task.
func (l *Leader) loop(ctx context.Context, sch *scheduling.Scheduler) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	forgetAt := l.cfg.Now().Add(forgetEvery)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			e(sch, l.cfg.Now(), l.cfg.Wall())
			l.drain(sch)
		case <-tick.C:
		}
		now := l.cfg.Now()
		sch.Tick(now, l.cfg.Wall())
		if now.After(forgetAt) {
			forgetAt = now.Add(forgetEvery)
			l.forget(ctx, sch.Forget(now))
		}
		l.flush(now, sch)
		l.dispatch(ctx, sch.TakeActions())
		if sch.Fenced() {
			return ErrFenced
		}
	}
}

// drain takes the events that wait, so that one round decides on all of them.
func (l *Leader) drain(sch *scheduling.Scheduler) {
	for range maxQueuedEvents {
		select {
		case e := <-l.events:
			e(sch, l.cfg.Now(), l.cfg.Wall())
		default:
			return
		}
	}
}

// flush sends the open commit: at once if callers or workers wait for it, else after
// a short time, so that ends share an append.
func (l *Leader) flush(now time.Time, sch *scheduling.Scheduler) {
	if l.committing || !sch.HasChanges() {
		return
	}
	if l.commitAt.IsZero() {
		l.commitAt = now.Add(commitDelay)
	}
	if sch.IsUrgent() || !now.Before(l.commitAt) {
		l.commitAt = time.Time{}
		sch.Flush()
	}
}

// commit appends progress, one append after the other.
func (l *Leader) commit(ctx context.Context) error {
	seq := int64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.commits:
			a := store.Append{Stream: store.Progress, Fence: &store.Fence{Producer: producer, Epoch: l.epoch, Seq: seq}}
			for _, r := range c.Records {
				a.Records = append(a.Records, store.Record{Key: r.Key, Value: r.Value})
			}
			sentAt := l.cfg.Now()
			res, err := l.persist(ctx, a)
			switch {
			case errors.Is(err, store.ErrSequence) && res.Seq == seq+1:
				// It was done without an answer, and the answer is not kept any more.
			case err != nil:
				return eris.Wrap(err, "commit progress")
			}
			seq++
			l.cfg.Metrics.Count("progress_commits", 1)
			l.cfg.Metrics.Observe("progress_commit_time", l.cfg.Now().Sub(sentAt))
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) {
				l.committing = false
				sch.ConfirmLeadership(sentAt)
				sch.Committed(c.Number)
			})
		}
	}
}

// forget drops the accepted records of jobs that ended.
func (l *Leader) forget(ctx context.Context, ids []job.ID) {
	if len(ids) == 0 {
		return
	}
	go func() {
		for len(ids) > 0 {
			n := min(len(ids), forgetBatch)
			a := store.Append{Stream: store.Work}
			for _, id := range ids[:n] {
				a.Records = append(a.Records, store.Record{Key: AcceptedKey(id)}, store.Record{Key: CancelledKey(id)})
			}
			ids = ids[n:]
			if _, err := l.cfg.Store.Append(ctx, a); err != nil {
				// They stay until their retention ends at the next owner.
				l.log.WithFields(logrus.Fields{"Jobs": n, "Error": err.Error()}).Info("ended jobs not dropped")
				return
			}
		}
	}()
}

// Configure hands a newer configuration to the scheduler.
func (l *Leader) Configure(c *queue.Configuration) {
	l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.Configure(c) })
}

// State answers what callers may be told of a job. That it isn't known is only said
// after a look at the end of the work.
func (l *Leader) State(ctx context.Context, id job.ID) (relay.StateAnswer, error) {
	a, err := l.lookUp(ctx, id)
	if err != nil || a.Known {
		return a, err
	}
	if err := l.catchUp(ctx); err != nil {
		return a, eris.Wrap(relay.ErrNoLeader, err.Error())
	}
	return l.lookUp(ctx, id)
}

// lookUp answers what the scheduler knows of a job.
func (l *Leader) lookUp(ctx context.Context, id job.ID) (relay.StateAnswer, error) {
	return ask(ctx, l, func(sch *scheduling.Scheduler) relay.StateAnswer {
		state, queue, ok := sch.State(id)
		return relay.StateAnswer{Known: ok, State: state, Queue: queue}
	})
}

// Waiting answers how many jobs of a queue wait.
func (l *Leader) Waiting(ctx context.Context, queue string) (relay.WaitingAnswer, error) {
	return ask(ctx, l, func(sch *scheduling.Scheduler) relay.WaitingAnswer {
		return relay.WaitingAnswer{Waiting: sch.Waiting(queue)}
	})
}

// ask has the scheduler's task answer a question.
func ask[T any](ctx context.Context, l *Leader, f func(sch *scheduling.Scheduler) T) (T, error) {
	var zero T
	answer := make(chan T, 1)
	if !l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { answer <- f(sch) }) {
		return zero, ErrStopped
	}
	select {
	case a := <-answer:
		return a, nil
	case <-l.done:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
