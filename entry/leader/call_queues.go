package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/eventlog"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

const (
	// maxCallsPerWorker bounds the concurrent calls to one worker: starts are short, and
	// each call keeps a connection open.
	maxCallsPerWorker = 2
	// queueWarnLength is the queue length, and each multiple of it, that logs a warning.
	queueWarnLength = 500
	// maxAdviserCalls bounds the concurrent calls to the adviser, which handles one call at
	// a time for each host.
	maxAdviserCalls = 1
)

// callQueues runs calls from named queues. The calls of a queue start in order, with a limit
// on concurrent ones. Each worker has its own queue. Holds and host orders bypass them.
type callQueues struct {
	leader *Leader
	mu     sync.Mutex
	// queues holds the queues with queued or running calls, by name, and unused those without; both are
	// guarded by mu.
	queues map[string]*callQueue
	unused []*callQueue
}

// callQueue is a queue of calls, guarded by the mu of its callQueues.
type callQueue struct {
	name string
	// calls[next:] are queued, and busy calls run.
	calls []func()
	next  int
	busy  int
}

// maxUnusedQueues bounds the queues that are kept for later use.
const maxUnusedQueues = 64

func newCallQueues(l *Leader) *callQueues {
	return &callQueues{leader: l, queues: make(map[string]*callQueue)}
}

// enqueue appends a call to the named queue, of which up to limit calls run at once.
func (c *callQueues) enqueue(name string, limit int, call func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[name]
	if q == nil {
		q = c.newQueue(name)
	}
	q.calls = append(q.calls, call)
	// The log field Lane names the call queue; logged names stay.
	if n := len(q.calls) - q.next; n%queueWarnLength == 0 {
		c.leader.log.WithFields(logrus.Fields{"Lane": name, "Orders": n}).Warn("calls to a worker are queueing")
	}
	if q.busy < limit {
		q.busy++
		c.leader.runners.run(func() { c.run(q) })
	}
}

// newQueue adds a queue; mu is held.
func (c *callQueues) newQueue(name string) *callQueue {
	q := new(callQueue)
	if last := len(c.unused) - 1; last >= 0 {
		q, c.unused = c.unused[last], c.unused[:last]
	}
	q.name = name
	c.queues[name] = q
	return q
}

// run runs calls of a queue until there are none.
func (c *callQueues) run(q *callQueue) {
	for call := c.take(q); call != nil; call = c.take(q) {
		call()
	}
}

// take returns the next call of a queue. Without one it ends the run that has asked for it, and drops the queue
// after the last run.
func (c *callQueues) take(q *callQueue) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.next < len(q.calls) {
		call := q.calls[q.next]
		q.calls[q.next] = nil
		q.next++
		if q.next > len(q.calls)/2 {
			q.calls, q.next = slices.Delete(q.calls, 0, q.next), 0
		}
		return call
	}
	if q.busy--; q.busy == 0 {
		delete(c.queues, q.name)
		if len(c.unused) < maxUnusedQueues {
			c.unused = append(c.unused, q)
		}
	}
	return nil
}

// dispatch carries out the scheduler's actions without blocking on calls.
func (l *Leader) dispatch(ctx context.Context, actions []scheduling.Action) {
	if len(actions) == 0 {
		return
	}
	decidedAt := l.cfg.Now()
	for _, a := range actions {
		switch a := a.(type) {
		case scheduling.Decision:
			eventlog.Event(l.log, a.Event, string(a.Job), a.Fields)
		case scheduling.JobEnded:
			l.countEnd(a)
		case scheduling.Start:
			l.callQueues.enqueue(a.Address, maxCallsPerWorker, func() { l.start(ctx, a, decidedAt) })
		case scheduling.Stop:
			l.callQueues.enqueue(a.Address, maxCallsPerWorker, func() { l.stop(ctx, a) })
		case scheduling.Pace:
			l.callQueues.enqueue(a.Address, maxCallsPerWorker, func() { l.pace(ctx, a) })
		case scheduling.Hold:
			l.runners.run(func() { l.hold(ctx, a) })
		case scheduling.Advise:
			l.callQueues.enqueue("adviser", maxAdviserCalls, func() { l.advise(ctx, a) })
		case scheduling.Move:
			go l.sendHostOrder(a.Host, a.Token, decidedAt, func() scheduling.Outcome { return l.cfg.Hosts.Move(ctx, a) })
		case scheduling.Maintain:
			go l.sendHostOrder(a.Host, a.Token, decidedAt, func() scheduling.Outcome { return l.cfg.Hosts.Maintain(ctx, a) })
		case scheduling.Commit:
			l.committing = true
			l.commits <- a
		case scheduling.ListHosts:
			select {
			case l.relist <- struct{}{}:
			default:
			}
		case scheduling.ReportWave:
			l.callQueues.enqueue("status", 1, func() { l.reportWave(ctx, a) })
		}
	}
}

// countEnd counts the end of a workspace's job.
func (l *Leader) countEnd(e scheduling.JobEnded) {
	name := l.cfg.Workspaces.Label("Workspace", string(e.Workspace))
	l.cfg.Metrics.Count("workspace_jobs", 1, name, metricLabel("State", string(e.State)), metricLabel("Response", e.Response))
	if e.State == job.Completed {
		l.cfg.Metrics.Observe("workspace_response_time", e.Took, name)
	}
}

// start sends a start order, unless it was queued for so long that the state behind the
// decision may have changed. The scheduler then gets the outcome Late, although no worker
// has answered.
func (l *Leader) start(ctx context.Context, o scheduling.Start, decidedAt time.Time) {
	sentAt := time.Now()
	a := scheduling.Answer{Outcome: scheduling.Late}
	if l.cfg.Now().Sub(decidedAt) <= scheduling.MaxOrderAge {
		a = l.cfg.Workers.Start(ctx, o)
	}
	a.Token = o.Token
	l.cfg.Metrics.Count("orders", 1, metricLabel("Kind", "start"), metricLabel("Outcome", a.Outcome.String()))
	l.cfg.Metrics.Observe("start_time", time.Since(sentAt))
	l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.Started(now, o.Worker, o.Task, o.Run, a) })
}

func (l *Leader) stop(ctx context.Context, o scheduling.Stop) {
	a := l.cfg.Workers.Stop(ctx, o)
	a.Token = o.Token
	l.cfg.Metrics.Count("orders", 1, metricLabel("Kind", "stop"), metricLabel("Outcome", a.Outcome.String()))
	l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.Stopped(now, o.Worker, o.Task, o.Run, a) })
}

func (l *Leader) pace(ctx context.Context, o scheduling.Pace) {
	a := l.cfg.Workers.Pace(ctx, o)
	a.Token = o.Token
	l.enqueue(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.Paced(o.Worker, o, a) })
}

func (l *Leader) hold(ctx context.Context, o scheduling.Hold) {
	sentAt := l.cfg.Now()
	a, rep := l.cfg.Workers.Hold(ctx, o)
	a.Token = o.Token
	l.enqueue(func(sch *scheduling.Scheduler, now time.Time, wall int64) {
		sch.Held(now, wall, o.Worker, o.Acknowledged, sentAt, a, rep)
	})
}

func (l *Leader) advise(ctx context.Context, o scheduling.Advise) {
	rows, valid, err := l.cfg.Adviser.Advise(ctx, o)
	if err != nil {
		l.log.WithFields(logrus.Fields{"Job": string(o.Job), "Step": o.Step, "Error": err.Error()}).Info("adviser call failed")
	}
	l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) {
		sch.Advised(now, o.Job, o.Number, o.Step, o.Workers, rows, valid, err == nil)
	})
}

// sendHostOrder sends an order for a host, unless this process was paused since the decision:
// another leader may order the host meanwhile. The scheduler then gets the outcome Busy, although
// nothing was sent.
func (l *Leader) sendHostOrder(id scheduling.HostID, token int64, decidedAt time.Time, send func() scheduling.Outcome) {
	o := scheduling.Busy
	if l.cfg.Now().Sub(decidedAt) <= scheduling.MaxOrderAge {
		o = send()
	}
	l.cfg.Metrics.Count("host_orders", 1, metricLabel("Outcome", o.String()))
	l.enqueue(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.Ordered(now, id, token, o) })
}

// reportWave stores a wave's status for the operators. Each report replaces the one before.
func (l *Leader) reportWave(ctx context.Context, w scheduling.ReportWave) {
	r, err := l.cfg.Decoder.WaveStatus(w)
	if err != nil {
		l.log.WithFields(logrus.Fields{"Wave": w.Wave, "Error": err.Error()}).Error("reporting wave status failed")
		return
	}
	if _, err := l.appendWithRetry(ctx, store.Append{Stream: store.Status, Records: []store.Record{r}}); err != nil {
		l.log.WithFields(logrus.Fields{"Wave": w.Wave, "Error": err.Error()}).Warn("reporting wave status failed")
	}
}
