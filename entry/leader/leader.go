package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
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

// ErrFenced means that a later leader has fenced this one, as seen in the store
// (store.ErrFenced), in the work stream or in an answer to an order. Answers to callers can
// contain the text, so it keeps the word owner for the leader.
var ErrFenced = eris.New("another host is the owner")

// ErrStopped means that the leader has stopped and answers no more requests. Answers to
// callers can contain the text, so it keeps the word owner.
var ErrStopped = eris.New("the owner has stopped")

const (
	// producer is the producer name, fenced by epoch, under which leaders append progress.
	producer = "Progress"
	// tickInterval is the longest time between two calls of the scheduler's Tick.
	tickInterval = 10 * time.Millisecond
	// roundGap is the pause from the start of one round of the scheduler to that of the next, if events
	// have the next one begin: they share it while there are many. It is short beside the 12 ms of
	// commitDelay. At 4,000 starts a second there were 7,700 rounds without it.
	roundGap = 2 * time.Millisecond
	// commitDelay is how long a commit waits for more runs to end. Workers list ended runs
	// until the commit is stored, and the next hold waits for that.
	commitDelay = 12 * time.Millisecond
	// readWait is how long a read of a stream waits for a record. It bounds how long a
	// broken connection goes unnoticed, and the age of the view of a quiet stream.
	readWait = 500 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 100 * time.Millisecond
	// catchUpTimeout bounds the reads for a lookup, longer than callers wait.
	catchUpTimeout = 3 * time.Second
	// listInterval is how often hosts are listed when the scheduler doesn't ask for it.
	listInterval = time.Second
	// maxQueuedEvents bounds the events queued for the scheduler.
	maxQueuedEvents = 4096
	// slowRound is the duration from which a round of the scheduler is logged. Its decisions
	// are as old as its start.
	slowRound = 500 * time.Millisecond
	// gaugeInterval is how often the gauges are updated.
	gaugeInterval = time.Second
	// maxCountAge is how old the view of the work stream may be from which waiting jobs are
	// counted. Callers are told that the number may be 2 s old; the rest is for the calls
	// between hosts.
	maxCountAge = 1500 * time.Millisecond
	// askPreviousInterval is how often the previous leader's host is asked whether that leader has
	// ended, and askPreviousFor how long: until the longest lease that it can have extended has
	// lapsed, as the answer has no use any more then.
	askPreviousInterval = 300 * time.Millisecond
	askPreviousFor      = 11 * time.Second
	// leasesInterval is how often the leases that heartbeats pass on are updated.
	leasesInterval = 100 * time.Millisecond
	// forgetInterval is how often the records of ended jobs are dropped.
	forgetInterval = 2 * time.Second
	// maxForgetBatch bounds the jobs whose records are dropped in one append.
	maxForgetBatch = 400
)

// Config holds a leader's settings and dependencies.
type Config struct {
	Self    relay.Peer
	Store   store.Store
	Workers Workers
	Hosts   Hosts
	Adviser Adviser
	Decoder Decoder
	Log     logrus.FieldLogger
	Metrics *metric.Registry
	// Workspaces bounds the names of workspaces in metrics.
	Workspaces *metric.Names
	// Now is the clock that times leases, Wall the wall clock in Unix milliseconds.
	Now  func() time.Time
	Wall func() int64
	// Scheduling configures the scheduler. Epoch, Term and RecordBytes are set by the leader.
	Scheduling  scheduling.Config
	StoreLimits store.Limits
	// OnConfiguration is called with each configuration that is read, before it is applied.
	OnConfiguration func(c *queue.Configuration)
	// Configuration returns the newest configuration that this host has, or nil. It may be nil. The store has no
	// valid one if operators have published an invalid one last.
	Configuration func() *queue.Configuration
	// Peers returns the hosts to list in each heartbeat.
	Peers func() []relay.Peer
	// IsStoreSlow reports whether appends to the store take long. It may be nil.
	IsStoreSlow func() bool
	// DirectLostFor returns how long this host has had no direct path to the store. It may be nil.
	DirectLostFor func(now time.Time) time.Duration
	// HasPreviousEnded asks whether the previous leader has certainly ended; false may mean that
	// there was no answer. It may be nil.
	HasPreviousEnded func(ctx context.Context) bool
}

// event is an input to the scheduler, run on the scheduler's goroutine.
type event func(s *scheduling.Scheduler, now time.Time, wall int64)

// Leader runs the scheduler during one epoch.
type Leader struct {
	cfg    Config
	epoch  int64
	term   int64
	log    logrus.FieldLogger
	events chan event
	// done is closed by closeEvents once events are no longer handled.
	done        chan struct{}
	closeEvents func()
	callQueues  *callQueues
	// runners run calls without a queue and those of callQueues.
	runners     *runners
	heartbeater *election.Heartbeater
	// batch has the events of a round; only the scheduler's goroutine uses it.
	batch []event
	// committing is set while a commit is being appended; only the scheduler's goroutine
	// uses it.
	committing bool
	// commitDeadline is when the open commit is sent at the latest.
	commitDeadline time.Time
	commits        chan scheduling.Commit
	// relist requests a listing of hosts before the next interval.
	relist chan struct{}
	// view is the part of the work stream that the scheduler has been given, and catchUps
	// the reads that bring it up to date. Both may be used once loaded is closed: before that the
	// view begins at the stream's first record, and its history holds jobs that were forgotten.
	view     streamView
	catchUps *sharedCall
	loaded   chan struct{}
	// workersView and operatorView are the parts of the other streams that the scheduler has
	// been given.
	workersView, operatorView streamView
	// confirmedAt is the send time of the latest heartbeat that the store accepted.
	confirmedAt atomic.Pointer[time.Time]
	// leases is what the next leader has to know about leases, nil until the state is loaded.
	leases atomic.Pointer[scheduling.LeaseHandover]
	// delays are those of overloaded queues, nil before the first look.
	delays atomic.Pointer[publishedDelays]
	// wakeHeartbeater makes the next heartbeat due at once.
	wakeHeartbeater chan struct{}
	// wasStoreSlow is whether the store was slow at the last look; only the scheduler's goroutine
	// uses it.
	wasStoreSlow bool
	// watchdog tells whether the takeover and the commits get on.
	watchdog *watchdog
	// isSuperseded is set once a later leader's marker was read.
	isSuperseded atomic.Bool
}

// New returns the leader of one epoch.
func New(cfg Config, epoch, term int64) *Leader {
	cfg.StoreLimits = cfg.StoreLimits.WithDefaults()
	if cfg.Workspaces == nil {
		cfg.Workspaces = metric.NewNames(metric.MaxNames)
	}
	l := &Leader{
		cfg: cfg, epoch: epoch, term: term,
		log:             cfg.Log.WithField("Epoch", epoch),
		events:          make(chan event, maxQueuedEvents),
		done:            make(chan struct{}),
		loaded:          make(chan struct{}),
		commits:         make(chan scheduling.Commit, 1),
		relist:          make(chan struct{}, 1),
		wakeHeartbeater: make(chan struct{}, 1),
		watchdog:        &watchdog{isBusy: true},
	}
	l.closeEvents = sync.OnceFunc(func() { close(l.done) })
	l.runners = newRunners(l.done)
	l.callQueues = newCallQueues(l)
	l.catchUps = newSharedCall(l.catchUp)
	l.heartbeater = &election.Heartbeater{
		Epoch: epoch, Term: term, Self: cfg.Self, Store: cfg.Store, Log: l.log, Now: cfg.Now, Peers: cfg.Peers,
		Leases: l.leases.Load, IsStoreSlow: cfg.IsStoreSlow, Wake: l.wakeHeartbeater, Delays: l.currentDelays,
		DirectLostFor: cfg.DirectLostFor,
		Confirmed: func(sentAt time.Time) {
			l.confirmedAt.Store(&sentAt)
			l.watchdog.confirm(sentAt)
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.ConfirmLeadership(sentAt) })
		},
	}
	return l
}

// enqueue passes an event to the scheduler's goroutine. It returns false if the leader has
// stopped.
func (l *Leader) enqueue(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// Run leads until the context ends, a later leader has fenced this one, or another host should
// lead, as it is stronger, or this one has no direct path to the store or doesn't get on. In the first and last
// case it releases the leadership, so that the next leader need not wait for the election timeout.
func (l *Leader) Run(ctx context.Context) error {
	defer l.closeEvents()
	startedAt := l.cfg.Now()
	l.watchdog.begin(startedAt)
	g, gctx := errgroup.WithContext(ctx)
	// Heartbeats start first, so that no other host claims while a slow store delays the
	// takeover.
	g.Go(func() error { return l.heartbeater.Run(gctx) })
	g.Go(func() error { return l.watchStalls(gctx) })
	g.Go(func() error { return l.lead(gctx, g, startedAt) })
	err := g.Wait()
	if errors.Is(err, store.ErrFenced) {
		return eris.Wrap(ErrFenced, err.Error())
	}
	if ctx.Err() != nil || errors.Is(err, election.ErrStrongerPeer) || errors.Is(err, election.ErrNoDirectPath) || errors.Is(err, election.ErrStalled) {
		return errors.Join(err, l.release(ctx.Err() != nil))
	}
	return err
}

// lead takes over, loads the scheduler and starts the leader's tasks in g.
func (l *Leader) lead(ctx context.Context, g *errgroup.Group, startedAt time.Time) error {
	barrier, err := l.takeOver(ctx)
	if err != nil {
		return err
	}
	loadedAt := l.cfg.Now()
	sch, from, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.view.observe(store.Page{Next: barrier + 1, End: barrier + 1}, loadedAt)
	l.workersView.observe(store.Page{Next: from.workers, End: from.workers}, loadedAt)
	l.operatorView.observe(store.Page{Next: from.operator, End: from.operator}, loadedAt)
	l.watchdog.end(l.cfg.Now())
	close(l.loaded)
	l.log.WithFields(logrus.Fields{"TookMs": l.cfg.Now().Sub(startedAt).Milliseconds(), "Barrier": barrier}).Info("takeover complete")
	g.Go(func() error { return l.tailWork(ctx, barrier+1) })
	g.Go(func() error { return l.tailWorkers(ctx, from.workers) })
	g.Go(func() error { return l.tailOperator(ctx, from.operator) })
	g.Go(func() error { return l.listHosts(ctx) })
	if l.cfg.HasPreviousEnded != nil && !l.cfg.Scheduling.Previous.Ended {
		g.Go(func() error { return l.askPrevious(ctx) })
	}
	g.Go(func() error { return l.commit(ctx) })
	g.Go(func() error { return l.loop(ctx, sch) })
	return nil
}

// release tells the other hosts that this leader has stepped down.
func (l *Leader) release(stopping bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return l.heartbeater.Release(ctx, stopping)
}

// takeOver fences the previous leader and appends a marker to the work stream, whose offset
// it returns. Its appends run concurrently and may be stored in any order, but all of them
// must be stored before anything is loaded.
func (l *Leader) takeOver(ctx context.Context) (int64, error) {
	b, err := json.Marshal(l.epoch)
	if err != nil {
		return 0, eris.Wrap(err, "encode the leader marker")
	}
	var barrier int64
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.fence(ctx, store.Progress, producer) })
	g.Go(func() error { return l.fence(ctx, store.Leader, election.Producer) })
	g.Go(func() error {
		res, err := l.appendWithRetry(ctx, store.Append{Stream: store.Work, Records: []store.Record{{Key: keyLeader, Value: b}}})
		barrier = res.Offset
		return eris.Wrap(err, "append the leader marker")
	})
	err = g.Wait()
	return barrier, err
}

// fence makes the store reject appends of earlier leaders to a stream.
func (l *Leader) fence(ctx context.Context, stream store.Stream, producerName string) error {
	_, err := l.appendWithRetry(ctx, store.Append{Stream: stream, Fence: &store.Fence{Producer: producerName, Epoch: l.epoch}})
	return eris.Wrapf(err, "fence %s", stream)
}

// appendWithRetry retries an append until the store answers. The append must be safe to
// repeat.
func (l *Leader) appendWithRetry(ctx context.Context, a store.Append) (store.Appended, error) {
	for {
		res, err := l.cfg.Store.Append(ctx, a)
		switch {
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown):
			l.watchdog.touchIfBusy(l.cfg.Now(), err)
			l.log.WithFields(logrus.Fields{"Stream": string(a.Stream), "Error": err.Error()}).Debug("append retried")
		default:
			l.watchdog.touch(l.cfg.Now())
			return res, err
		}
		if !clock.Sleep(ctx, retryDelay) {
			return res, ctx.Err()
		}
	}
}

// askPrevious tells the scheduler once the previous leader has certainly ended.
func (l *Leader) askPrevious(ctx context.Context) error {
	for until := l.cfg.Now().Add(askPreviousFor); l.cfg.Now().Before(until); {
		if l.cfg.HasPreviousEnded(ctx) {
			l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.PreviousEnded(now) })
			return nil
		}
		if !clock.Sleep(ctx, askPreviousInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// passOnLeases updates what the next leader has to know about leases. The first time it is
// passed on at once, as this leader may be killed before the next heartbeat is due. The hosts also
// learn at once that the store is slow, as each append that they send themselves delays all others.
func (l *Leader) passOnLeases(h *scheduling.LeaseHandover) {
	isFirst := l.leases.Swap(h) == nil
	isSlow := l.cfg.IsStoreSlow != nil && l.cfg.IsStoreSlow()
	if isFirst || isSlow && !l.wasStoreSlow {
		select {
		case l.wakeHeartbeater <- struct{}{}:
		default:
		}
	}
	l.wasStoreSlow = isSlow
}

// loop runs the scheduler. Its goroutine is the only one that uses it.
func (l *Leader) loop(ctx context.Context, sch *scheduling.Scheduler) error {
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	forgetAt := l.cfg.Now().Add(forgetInterval)
	gaugesAt, leasesAt := l.cfg.Now(), l.cfg.Now()
	gap := time.NewTimer(0)
	defer gap.Stop()
	defer l.clearGauges()
	var workspaces workspaceGauges
	defer func() { workspaces.show(l.cfg.Metrics, nil) }()
	defer l.closeEvents()
	for {
		l.batch = l.batch[:0]
		select {
		case <-ctx.Done():
			l.leases.Store(sch.HandOverLeases(l.cfg.Now()))
			return ctx.Err()
		case e := <-l.events:
			l.batch = append(l.batch, e)
			// The timer was set at the start of the last round.
			select {
			case <-gap.C:
			case <-ctx.Done():
				continue
			}
		case <-tick.C:
		}
		gap.Reset(roundGap)
		tick.Reset(tickInterval)
		beganAt := time.Now()
		// The lag counts from before the events that are handled below, so that it is not
		// less than that of the scheduler's state.
		lag := l.viewLag()
		l.handleEvents(sch)
		sch.SetViewLag(lag)
		eventsTook := time.Since(beganAt)
		now, tickedAt := l.cfg.Now(), time.Now()
		sch.Tick(now, l.cfg.Wall())
		sch.EndTick(now.Add(time.Since(tickedAt)))
		if now.After(forgetAt) {
			forgetAt = now.Add(forgetInterval)
			l.forget(ctx, sch, now)
		}
		if now.After(gaugesAt) {
			gaugesAt = now.Add(gaugeInterval)
			l.updateGauges(now)
			workspaces.show(l.cfg.Metrics, sch.WorkspaceUse())
		}
		if !now.Before(leasesAt) {
			leasesAt = now.Add(leasesInterval)
			l.passOnLeases(sch.HandOverLeases(now))
			l.delays.Store(&publishedDelays{at: now, byQueue: sch.Delays(now)})
		}
		l.flush(now, sch)
		l.dispatch(ctx, sch.TakeActions())
		l.observeRound(time.Since(beganAt), eventsTook, len(l.batch))
		if sch.Fenced() {
			return ErrFenced
		}
	}
}

// viewLag returns how much older the oldest view of a stream is than the last confirmation of
// the leadership.
func (l *Leader) viewLag() time.Duration {
	confirmedAt := l.confirmedAt.Load()
	if confirmedAt == nil {
		return 0
	}
	return max(l.view.lag(*confirmedAt), l.workersView.lag(*confirmedAt), l.operatorView.lag(*confirmedAt))
}

// observeRound records how long a round of the scheduler took, and the part of it that its
// events took.
func (l *Leader) observeRound(took, eventsTook time.Duration, events int) {
	l.cfg.Metrics.Observe("scheduler_round_time", took)
	if took >= slowRound {
		l.log.WithFields(logrus.Fields{
			"TookMs": took.Milliseconds(), "EventsTookMs": eventsTook.Milliseconds(), "Events": events,
			"Queued": len(l.events), "ViewAgeMs": l.view.age(l.cfg.Now()).Milliseconds(), "Behind": l.view.behind(),
		}).Warn("slow scheduler round")
	}
}

// updateGauges shows how far the leader is behind its inputs.
func (l *Leader) updateGauges(now time.Time) {
	l.setGauges(l.view.age(now).Milliseconds(), l.view.behind(), int64(len(l.events)))
}

// clearGauges resets the gauges of a leader that has ended.
func (l *Leader) clearGauges() {
	l.setGauges(0, 0, 0)
}

func (l *Leader) setGauges(viewAgeMs, behind, queued int64) {
	l.cfg.Metrics.Gauge("work_view_age_ms", viewAgeMs)
	l.cfg.Metrics.Gauge("work_records_behind", behind)
	l.cfg.Metrics.Gauge("scheduler_events_queued", queued)
}

// handleEvents passes the events of the batch and those that are queued to the scheduler, which decides on
// them together. All of them are handled at one time, which is read after the last of them has come.
func (l *Leader) handleEvents(sch *scheduling.Scheduler) {
	for range len(l.events) {
		l.batch = append(l.batch, <-l.events)
	}
	if len(l.batch) == 0 {
		return
	}
	now, wall := l.cfg.Now(), l.cfg.Wall()
	for _, e := range l.batch {
		e(sch, now, wall)
	}
	clear(l.batch)
}

// flush sends the open commit: at once if callers or workers wait for it, else after
// commitDelay, so that several ended runs share an append.
func (l *Leader) flush(now time.Time, sch *scheduling.Scheduler) {
	if l.committing || !sch.HasChanges() {
		return
	}
	if l.commitDeadline.IsZero() {
		l.commitDeadline = now.Add(commitDelay)
	}
	if sch.IsUrgent() || !now.Before(l.commitDeadline) {
		l.commitDeadline = time.Time{}
		sch.Flush()
	}
}

// commit appends progress records, one append at a time.
func (l *Leader) commit(ctx context.Context) error {
	seq := int64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-l.commits:
			var records []store.Record
			for _, r := range c.Records {
				records = append(records, store.Record{Key: r.Key, Value: r.Value})
			}
			var sentAt time.Time
			l.watchdog.begin(l.cfg.Now())
			for _, part := range l.cfg.StoreLimits.Divide(records) {
				sentAt = l.cfg.Now()
				if err := l.appendProgress(ctx, part, seq); err != nil {
					return err
				}
				seq++
				l.cfg.Metrics.Observe("progress_commit_time", l.cfg.Now().Sub(sentAt))
			}
			l.watchdog.end(l.cfg.Now())
			l.cfg.Metrics.Count("progress_commits", 1)
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) {
				l.committing = false
				sch.ConfirmLeadership(sentAt)
				sch.Committed(c.Number)
			})
		}
	}
}

// appendProgress appends progress records under a sequence number.
func (l *Leader) appendProgress(ctx context.Context, records []store.Record, seq int64) error {
	a := store.Append{Stream: store.Progress, Records: records, Fence: &store.Fence{Producer: producer, Epoch: l.epoch, Seq: seq}}
	res, err := l.appendWithRetry(ctx, a)
	if errors.Is(err, store.ErrSequence) && res.Seq == seq+1 {
		// An earlier attempt without an answer was stored, and the store no longer keeps its
		// answer.
		return nil
	}
	return eris.Wrap(err, "commit progress")
}

// forget deletes the accepted and cancelled records of ended jobs in the background and
// tells the scheduler the outcome. After a failure, the rest isn't sent either.
func (l *Leader) forget(ctx context.Context, sch *scheduling.Scheduler, now time.Time) {
	ids := sch.Forget(now)
	if len(ids) == 0 {
		return
	}
	drops := make(map[job.ID][]store.Record, len(ids))
	for _, id := range ids {
		drops[id] = []store.Record{{Key: earlierAcceptedKey(id)}, {Key: CancelledKey(id, "")}}
		for _, o := range sch.Origins(id) {
			drops[id] = append(drops[id], store.Record{Key: AcceptedKey(id, o.Pool, o.Workspace)})
		}
		for _, by := range sch.CancelledBy(id) {
			if by != "" {
				drops[id] = append(drops[id], store.Record{Key: CancelledKey(id, by)})
			}
		}
	}
	go func() {
		for len(ids) > 0 {
			batch := ids[:min(len(ids), maxForgetBatch)]
			a := store.Append{Stream: store.Work}
			for _, id := range batch {
				a.Records = append(a.Records, drops[id]...)
			}
			_, err := l.cfg.Store.Append(ctx, a)
			if err != nil {
				l.log.WithFields(logrus.Fields{"Jobs": len(ids), "Error": err.Error()}).Info("dropping ended jobs failed")
				batch = ids
			}
			ids = ids[len(batch):]
			l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.Forgotten(batch, err == nil) })
		}
	}()
}

// Configure passes a newer configuration to the scheduler.
func (l *Leader) Configure(c *queue.Configuration) {
	l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.Configure(c) })
}

// State returns a job's state as shown to callers. It reports a job as unknown only after
// it has read the work stream to its end.
func (l *Leader) State(ctx context.Context, id job.ID) (relay.StateAnswer, error) {
	a, err := l.lookUp(ctx, id)
	if err != nil || a.Known {
		return a, err
	}
	if err := l.readToEnd(ctx); err != nil {
		return a, eris.Wrap(relay.ErrNoLeader, err.Error())
	}
	return l.lookUp(ctx, id)
}

// lookUp returns the scheduler's state of a job.
func (l *Leader) lookUp(ctx context.Context, id job.ID) (relay.StateAnswer, error) {
	return query(ctx, l, func(sch *scheduling.Scheduler) relay.StateAnswer {
		state, queue, ok := sch.State(id)
		return relay.StateAnswer{Known: ok, State: state, Queue: queue, Workspace: sch.WorkspaceOf(id)}
	})
}

// Waiting returns the number of waiting jobs in a queue. It fails unless the leader knows all
// jobs that were accepted up to the call, or up to maxCountAge ago.
func (l *Leader) Waiting(ctx context.Context, queue string) (relay.WaitingAnswer, error) {
	if err := l.ensureCurrent(ctx, maxCountAge); err != nil {
		return relay.WaitingAnswer{}, eris.Wrap(relay.ErrNoLeader, err.Error())
	}
	return query(ctx, l, func(sch *scheduling.Scheduler) relay.WaitingAnswer {
		return relay.WaitingAnswer{Waiting: sch.QueuedJobs(queue), Epoch: l.epoch, ViewAge: l.view.age(l.cfg.Now())}
	})
}

// query runs f on the scheduler's goroutine and returns its result.
func query[T any](ctx context.Context, l *Leader, f func(sch *scheduling.Scheduler) T) (T, error) {
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
