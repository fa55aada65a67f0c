package steward

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

const (
	// laneWidth is how many orders to one worker are out at once: starts are short,
	// and each lane keeps a connection open.
	laneWidth = 2
	// startAge is how old a decision to start may be when it is sent: well below the
	// second within which ends, cancellations and leaving workers have to count.
	startAge = 400 * time.Millisecond
	// laneQueue is the length at which a lane's queue is worth a line in the log.
	laneQueue = 500
	// advisers is how many questions to the adviser are out at once: it handles one
	// call at a time for each host, in turn.
	advisers = 1
)

// lanes carries out orders: those to one worker one after the other in few lanes,
// holds each by itself.
type lanes struct {
	s  *Steward
	mu sync.Mutex
	// queues and busy are guarded by mu.
	queues map[string][]func()
	busy   map[string]int
}

func newLanes(s *Steward) *lanes {
	return &lanes{s: s, queues: make(map[string][]func()), busy: make(map[string]int)}
}

// put queues an order in a lane of the name, of which width run at once.
func (l *lanes) put(name string, width int, order func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queues[name] = append(l.queues[name], order)
	if n := len(l.queues[name]); n%laneQueue == 0 {
		l.s.log.WithFields(logrus.Fields{"Lane": name, "Orders": n}).Warn("orders wait")
	}
	if l.busy[name] < width {
		l.busy[name]++
		go l.work(name)
	}
}

func (l *lanes) work(name string) {
	for {
		l.mu.Lock()
		q := l.queues[name]
		if len(q) == 0 {
			if l.busy[name]--; l.busy[name] == 0 {
				delete(l.busy, name)
				delete(l.queues, name)
			}
			l.mu.Unlock()
			return
		}
		order := q[0]
		l.queues[name] = q[1:]
		l.mu.Unlock()
		order()
	}
}

// carryOut sends what the scheduler decided.
func (s *Steward) carryOut(ctx context.Context, actions []scheduling.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduling.Note:
			s.write(a)
		case scheduling.Start:
			decided := s.cfg.Now()
			s.lanes.put(a.Address, laneWidth, func() { s.start(ctx, a, decided) })
		case scheduling.Stop:
			s.lanes.put(a.Address, laneWidth, func() { s.stop(ctx, a) })
		case scheduling.Pace:
			s.lanes.put(a.Address, laneWidth, func() { s.pace(ctx, a) })
		case scheduling.Hold:
			go s.hold(ctx, a)
		case scheduling.Advise:
			s.lanes.put("adviser", advisers, func() { s.advise(ctx, a) })
		case scheduling.Move:
			go s.order(a.Host, a.Token, func() scheduling.Outcome { return s.cfg.Hosts.Move(ctx, a) })
		case scheduling.Maintain:
			go s.order(a.Host, a.Token, func() scheduling.Outcome { return s.cfg.Hosts.Maintain(ctx, a) })
		case scheduling.Commit:
			s.committing = true
			s.commits <- a
		case scheduling.ListHosts:
			select {
			case s.relist <- struct{}{}:
			default:
			}
		case scheduling.ReportWave:
			s.lanes.put("status", 1, func() { s.report(ctx, a) })
		}
	}
}

// write logs a decision.
func (s *Steward) write(n scheduling.Note) {
	fields := make(logrus.Fields, len(n.Fields)/2+1)
	if n.Job != "" {
		fields["Job"] = string(n.Job)
	}
	for i := 0; i+1 < len(n.Fields); i += 2 {
		if key, ok := n.Fields[i].(string); ok {
			fields[key] = n.Fields[i+1]
		}
	}
	s.log.WithFields(fields).Info(n.Event)
}

// start sends a start, unless it waited for so long that what decided it may not hold
// any more.
func (s *Steward) start(ctx context.Context, o scheduling.Start, decided time.Time) {
	sentAt := s.cfg.Now()
	a := scheduling.Answer{Outcome: scheduling.Late}
	if sentAt.Sub(decided) <= startAge {
		a = s.cfg.Workers.Start(ctx, o)
	}
	s.cfg.Metrics.Count("orders", 1, metricLabel("Kind", "start"), metricLabel("Outcome", a.Outcome.String()))
	s.cfg.Metrics.Observe("start_time", s.cfg.Now().Sub(sentAt))
	s.tell(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.Started(now, o.Worker, o.Task, o.Run, a) })
}

func (s *Steward) stop(ctx context.Context, o scheduling.Stop) {
	a := s.cfg.Workers.Stop(ctx, o)
	s.cfg.Metrics.Count("orders", 1, metricLabel("Kind", "stop"), metricLabel("Outcome", a.Outcome.String()))
	s.tell(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.Stopped(now, o.Worker, o.Task, o.Run, a) })
}

func (s *Steward) pace(ctx context.Context, o scheduling.Pace) {
	a := s.cfg.Workers.Pace(ctx, o)
	s.tell(func(sch *scheduling.Scheduler, _ time.Time, _ int64) { sch.Paced(o.Worker, o, a) })
}

func (s *Steward) hold(ctx context.Context, o scheduling.Hold) {
	sentAt := s.cfg.Now()
	a, rep := s.cfg.Workers.Hold(ctx, o)
	s.tell(func(sch *scheduling.Scheduler, now time.Time, wall int64) {
		sch.Held(now, wall, o.Worker, o.Acknowledged, sentAt, a, rep)
	})
}

func (s *Steward) advise(ctx context.Context, o scheduling.Advise) {
	rows, valid, err := s.cfg.Adviser.Advise(ctx, o)
	if err != nil {
		s.log.WithFields(logrus.Fields{"Job": string(o.Job), "Step": o.Step, "Error": err.Error()}).Info("no advice")
	}
	s.tell(func(sch *scheduling.Scheduler, now time.Time, _ int64) {
		sch.Advised(now, o.Job, o.Number, o.Step, o.Workers, rows, valid, err == nil)
	})
}

func (s *Steward) order(id scheduling.HostID, token int64, send func() scheduling.Outcome) {
	o := send()
	s.cfg.Metrics.Count("host_orders", 1, metricLabel("Outcome", o.String()))
	s.tell(func(sch *scheduling.Scheduler, now time.Time, _ int64) { sch.Ordered(now, id, token, o) })
}

// report tells the operators how far a wave is; the last report stands.
func (s *Steward) report(ctx context.Context, w scheduling.ReportWave) {
	r, err := s.cfg.Decoder.WaveStatus(w)
	if err != nil {
		s.log.WithFields(logrus.Fields{"Wave": w.Wave, "Error": err.Error()}).Error("wave not reported")
		return
	}
	if _, err := s.persist(ctx, store.Append{Stream: store.Status, Records: []store.Record{r}}); err != nil {
		s.log.WithFields(logrus.Fields{"Wave": w.Wave, "Error": err.Error()}).Warn("wave not reported")
	}
}
