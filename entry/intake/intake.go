package intake

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/entry/leader"
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/entry/publication"
	"github.com/godwitcross/godwitcross/entry/relay"
	"github.com/godwitcross/godwitcross/entry/store"
	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/queue"
)

// Errors that callers are told.
var (
	// ErrNoQueue says that no queue has the host and path.
	ErrNoQueue = eris.New("no such queue")
	// ErrNoJob says that the queue has no such job.
	ErrNoJob = eris.New("no such job")
	// ErrNotAccepted says that the request was not accepted and never runs.
	ErrNotAccepted = eris.New("not accepted")
	// ErrUndecided says that it isn't known whether the request was accepted.
	ErrUndecided = eris.New("not known whether it was accepted")
	// ErrNoAnswer says that nobody who knows the answer was reached in time.
	ErrNoAnswer = eris.New("no answer in time")
)

const (
	// defaultTimeout is how long a request is worked on if its caller doesn't say.
	defaultTimeout = 3 * time.Second
	// answerMargin is kept of the caller's time to send the answer.
	answerMargin = 20 * time.Millisecond
	// freshnessTimeout is how long a request waits for the proof that no newer configuration
	// has its queue. A request that waited longer could be answered by a version that
	// is newer than the one by which later requests were answered meanwhile.
	freshnessTimeout = 200 * time.Millisecond
	// askPause is the pause between two tries to reach the owner.
	askPause = 60 * time.Millisecond
)

// StateResolver answers what only the owner knows.
type StateResolver interface {
	State(ctx context.Context, r relay.StateRequest) (relay.StateAnswer, error)
	Waiting(ctx context.Context, r relay.WaitingRequest) (relay.WaitingAnswer, error)
}

// Config is what an intake is built from.
type Config struct {
	Follower *publication.Follower
	Batcher  *Batcher
	Resolver StateResolver
	Log      logrus.FieldLogger
	Metrics  *metric.Registry
	Wall     func() int64
	// DataCentres are the data centres that run jobs, in the same order on all hosts.
	DataCentres []string
}

// Intake handles callers' requests.
type Intake struct {
	cfg Config
}

// New returns an intake.
func New(cfg Config) *Intake {
	return &Intake{cfg: cfg}
}

// WithCallerTimeout returns a context that ends when the caller stops waiting.
func WithCallerTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, max(timeout-answerMargin, answerMargin))
}

// Route finds the queue of a request. A queue is only said to be missing by the
// newest configuration.
func (in *Intake) Route(ctx context.Context, host, path string) (queue.Queue, string, int64, error) {
	c := in.cfg.Follower.Current()
	if c != nil {
		if q, rest, ok := c.Match(host, path); ok {
			return q, rest, c.Version, nil
		}
	}
	fctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	c, proved := in.cfg.Follower.Fresh(fctx)
	if c == nil {
		return queue.Queue{}, "", 0, eris.Wrap(ErrNotAccepted, "no configuration yet")
	}
	q, rest, ok := c.Match(host, path)
	switch {
	case ok:
		return q, rest, c.Version, nil
	case !proved:
		return q, "", c.Version, eris.Wrapf(ErrNotAccepted, "no such queue in version %d, which may be old", c.Version)
	default:
		return q, "", c.Version, eris.Wrapf(ErrNoQueue, "version %d", c.Version)
	}
}

// Submit accepts a job: after it returns nil, the job is stored.
func (in *Intake) Submit(ctx context.Context, q queue.Queue, version int64, j job.Job) error {
	began := time.Now()
	j.Queue, j.Pool, j.Version, j.AcceptedAt = q.Name, q.Pool, version, in.cfg.Wall()
	j.Home = in.homeDataCentre(j)
	err := j.Validate()
	if err == nil {
		err = in.put(ctx, leader.AcceptedKey(j.ID), j.Encode)
	}
	in.recordOutcome("submit", q.Name, j.ID, version, began, err)
	return err
}

// homeDataCentre draws a job's data centre by its ID, so that a repeat at another host names the
// same. Tasks that last are spread, and those with data are put where that is, so their
// jobs have none.
func (in *Intake) homeDataCentre(j job.Job) string {
	if len(in.cfg.DataCentres) == 0 || j.LongRunning() || j.HasAffinity() {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return in.cfg.DataCentres[int(h.Sum32()%uint32(len(in.cfg.DataCentres)))]
}

// Cancel ends a job for good, also one that isn't known yet: a late repeat of its
// submission must not run.
func (in *Intake) Cancel(ctx context.Context, q queue.Queue, version int64, id job.ID) error {
	began := time.Now()
	err := id.Validate()
	if err == nil {
		err = in.put(ctx, leader.CancelledKey(id), func() ([]byte, error) { return []byte("1"), nil })
	}
	in.recordOutcome("cancel", q.Name, id, version, began, err)
	return err
}

func (in *Intake) put(ctx context.Context, key string, encode func() ([]byte, error)) error {
	b, err := encode()
	if err != nil {
		return err
	}
	err = in.cfg.Batcher.Put(ctx, store.Record{Key: key, Value: b})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrUnknown):
		return eris.Wrap(ErrUndecided, err.Error())
	default:
		return eris.Wrap(ErrNotAccepted, err.Error())
	}
}

// State returns what is known of a job.
func (in *Intake) State(ctx context.Context, q queue.Queue, id job.ID) (job.State, error) {
	began := time.Now()
	a, err := askLeader(ctx, func() (relay.StateAnswer, error) {
		return in.cfg.Resolver.State(ctx, relay.StateRequest{Job: id, Hops: relay.MaxHops})
	})
	if err == nil && (!a.Known || (a.Queue != "" && a.Queue != q.Name)) {
		err = ErrNoJob
	}
	in.cfg.Metrics.Observe("request_time", time.Since(began), metric.Label{Name: "Kind", Value: "state"}, metric.Label{Name: "Queue", Value: q.Name})
	if err != nil {
		in.cfg.Log.WithFields(logrus.Fields{"Job": string(id), "Queue": q.Name, "Outcome": err.Error()}).Info("state not told")
	}
	return a.State, err
}

// Waiting returns how many jobs of a queue no task has started of.
func (in *Intake) Waiting(ctx context.Context, q queue.Queue) (int, error) {
	a, err := askLeader(ctx, func() (relay.WaitingAnswer, error) {
		return in.cfg.Resolver.Waiting(ctx, relay.WaitingRequest{Queue: q.Name, Hops: relay.MaxHops})
	})
	return a.Waiting, err
}

// askLeader asks until there is an answer or the caller's time is over.
func askLeader[T any](ctx context.Context, ask func() (T, error)) (T, error) {
	for {
		a, err := ask()
		if err == nil {
			return a, nil
		}
		clock.Pause(ctx, askPause)
		if ctx.Err() != nil {
			return a, eris.Wrap(ErrNoAnswer, err.Error())
		}
	}
}

// recordOutcome tells what became of a request.
func (in *Intake) recordOutcome(kind, queueName string, id job.ID, version int64, began time.Time, err error) {
	outcome := "accepted"
	switch {
	case err == nil:
	case errors.Is(err, job.ErrInvalid):
		outcome = "invalid"
	case errors.Is(err, ErrUndecided):
		outcome = "undecided"
	default:
		outcome = "not accepted"
	}
	took := time.Since(began)
	in.cfg.Metrics.Observe("request_time", took, metric.Label{Name: "Kind", Value: kind}, metric.Label{Name: "Queue", Value: queueName})
	in.cfg.Metrics.Count("requests", 1, metric.Label{Name: "Kind", Value: kind}, metric.Label{Name: "Outcome", Value: outcome})
	fields := logrus.Fields{"Job": string(id), "Queue": queueName, "Version": version, "Outcome": outcome, "TookMs": took.Milliseconds()}
	if err != nil {
		fields["Error"] = err.Error()
	}
	in.cfg.Log.WithFields(fields).Info(kind)
}
