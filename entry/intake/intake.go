package intake

import (
	"context"
	"errors"
	"hash/fnv"
	"sync/atomic"
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

// Errors of requests. Callers are sent their texts.
var (
	// ErrNoQueue means that no queue matches the host and path.
	ErrNoQueue = eris.New("no such queue")
	// ErrUnauthorized means that the queue takes only calls with a key, and no workspace has the
	// request's key.
	ErrUnauthorized = eris.New("unknown key")
	// ErrNoJob means that the queue has no such job.
	ErrNoJob = eris.New("no such job")
	// ErrNotAccepted means that the request was not accepted and will not take effect
	// later.
	ErrNotAccepted = eris.New("not accepted")
	// ErrUndecided means that it is unknown whether the request was accepted.
	ErrUndecided = eris.New("not known whether it was accepted")
	// ErrNoAnswer means that the leader gave no answer in time.
	ErrNoAnswer = eris.New("no answer in time")
)

const (
	// defaultTimeout is the timeout of a request whose caller sets none.
	defaultTimeout = 3 * time.Second
	// answerMargin is the part of the caller's timeout that is reserved for sending the
	// answer.
	answerMargin = 20 * time.Millisecond
	// askRetryDelay is the delay between two tries to reach the leader.
	askRetryDelay = 60 * time.Millisecond
)

// StateResolver answers lookups that only the leader can answer.
type StateResolver interface {
	State(ctx context.Context, r relay.StateRequest) (relay.StateAnswer, error)
	Waiting(ctx context.Context, r relay.WaitingRequest) (relay.WaitingAnswer, error)
}

// Config configures an Intake.
type Config struct {
	Follower *publication.Follower
	Batcher  *Batcher
	Resolver StateResolver
	Log      logrus.FieldLogger
	Metrics  *metric.Registry
	// Wall returns the wall clock in Unix milliseconds.
	Wall func() int64
	// DataCentres are the data centres that run jobs. All hosts have the same order.
	DataCentres []string
	// StoreLimits are the store's limits; those that are 0 get defaults.
	StoreLimits store.Limits
	// Now is the clock by which the age of the configuration counts.
	Now func() time.Time
	// RequireKeys is set if queues that aren't public take only calls with a key, also while the
	// configuration has no workspaces.
	RequireKeys bool
	// MaxKeyAge is how old the last confirmation of the configuration may be whose keys are accepted; 0 stands for any.
	MaxKeyAge time.Duration
	// Workspaces bounds the names of workspaces in metrics.
	Workspaces *metric.Names
	// UnderPressure is that of scheduling.Config.
	UnderPressure bool
	// Delays returns what the leader has published; it may be nil.
	Delays Delays
}

// Intake handles callers' requests.
type Intake struct {
	cfg Config
	// refusedLoggedAt is when a request without a queue or a valid key was last logged.
	refusedLoggedAt atomic.Pointer[time.Time]
}

// New returns an intake with the given configuration.
func New(cfg Config) *Intake {
	cfg.StoreLimits = cfg.StoreLimits.WithDefaults()
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	if cfg.Workspaces == nil {
		cfg.Workspaces = metric.NewNames(metric.MaxNames)
	}
	return &Intake{cfg: cfg}
}

// WithCallerTimeout returns a context that ends shortly before the caller stops waiting. A
// timeout of 0 means that the caller sets none.
func WithCallerTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		ctx = withStatedTimeout(ctx, timeout)
	} else {
		timeout = defaultTimeout
	}
	return context.WithTimeout(ctx, max(timeout-answerMargin, answerMargin))
}

// Submit accepts a job. The job is stored when Submit returns nil. The error is an OverloadedError if the job would end too
// late to be of use.
func (in *Intake) Submit(ctx context.Context, r Route, j job.Job) error {
	began := time.Now()
	j.Queue, j.Pool, j.Version, j.AcceptedAt = r.Queue.Name, r.Queue.Pool, r.Version, in.cfg.Wall()
	j.Workspace = r.Workspace
	j.MaxAttempts = r.Queue.MaxAttempts
	j.Home = in.homeDataCentre(j)
	err := j.Validate()
	if err == nil {
		err = in.shed(ctx, r, j)
	}
	if err == nil {
		err = in.encodeAndPut(ctx, j)
	}
	in.recordOutcome("submit", r, j.ID, began, err)
	return err
}

func (in *Intake) encodeAndPut(ctx context.Context, j job.Job) error {
	b, err := j.Encode()
	if err != nil {
		return err
	}
	return in.put(ctx, store.Record{Key: leader.AcceptedKey(j.ID, j.Pool, j.Workspace), Value: b})
}

// homeDataCentre derives a job's home data centre from its ID, so that every host derives
// the same one for a repeated submission. Jobs with long-running tasks, which are spread,
// and jobs with affinity, whose data determines the place, have none.
func (in *Intake) homeDataCentre(j job.Job) string {
	if len(in.cfg.DataCentres) == 0 || j.LongRunning() || j.HasAffinity() {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return in.cfg.DataCentres[int(h.Sum32()%uint32(len(in.cfg.DataCentres)))]
}

// Cancel cancels a job of the caller's workspace. A job that is not known yet is cancelled too, so that a
// submission that arrives late does not run.
func (in *Intake) Cancel(ctx context.Context, r Route, id job.ID) error {
	began := time.Now()
	err := id.Validate()
	if err == nil {
		err = in.put(ctx, leader.Cancellation(id, r.Workspace))
	}
	in.recordOutcome("cancel", r, id, began, err)
	return err
}

// put stores a record. Its error says whether the record may still be stored.
func (in *Intake) put(ctx context.Context, r store.Record) error {
	if n, limit := r.Size(), in.cfg.StoreLimits.RecordBytes; n > limit {
		return eris.Wrapf(job.ErrInvalid, "record of %d bytes, at most %d", n, limit)
	}
	err := in.cfg.Batcher.Put(ctx, r)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrUnknown):
		return eris.Wrap(ErrUndecided, err.Error())
	default:
		return eris.Wrap(ErrNotAccepted, err.Error())
	}
}

// State returns a job's state. A job of another workspace is answered like an unknown one.
func (in *Intake) State(ctx context.Context, r Route, id job.ID) (job.State, error) {
	began, q := time.Now(), r.Queue
	a, err := askLeader(ctx, func() (relay.StateAnswer, error) {
		return in.cfg.Resolver.State(ctx, relay.StateRequest{Job: id, Hops: relay.MaxHops})
	})
	if err == nil && (!a.Known || in.isElsewhere(a.Queue, q) || !r.maySee(a)) {
		err = ErrNoJob
	}
	in.cfg.Metrics.Observe("request_time", time.Since(began), metric.Label{Name: "Kind", Value: "state"}, metric.Label{Name: "Queue", Value: q.Name})
	if err != nil {
		fields := logrus.Fields{"Job": string(id), "Queue": q.Name, "Outcome": err.Error()}
		r.addWorkspace(fields)
		in.cfg.Log.WithFields(fields).Info("state lookup failed")
		return "", err
	}
	return a.State, nil
}

// isElsewhere reports whether the jobs of a queue are found at another host or path than those of q. The jobs of a
// queue that was dropped are found wherever the path leads now: another queue may have replaced it.
func (in *Intake) isElsewhere(name string, q queue.Queue) bool {
	if name == q.Name {
		return false
	}
	c := in.cfg.Follower.Current()
	if c == nil {
		return false
	}
	_, exists := c.Queue(name)
	return exists
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (in *Intake) Waiting(ctx context.Context, r Route) (int, error) {
	began, q := time.Now(), r.Queue
	a, err := askLeader(ctx, func() (relay.WaitingAnswer, error) {
		return in.cfg.Resolver.Waiting(ctx, relay.WaitingRequest{Queue: q.Name, Hops: relay.MaxHops})
	})
	took := time.Since(began)
	in.cfg.Metrics.Observe("request_time", took, metric.Label{Name: "Kind", Value: "waiting"}, metric.Label{Name: "Queue", Value: q.Name})
	fields := logrus.Fields{"Queue": q.Name, "TookMs": took.Milliseconds()}
	if err != nil {
		fields["Outcome"] = err.Error()
		in.cfg.Log.WithFields(fields).Info("waiting lookup failed")
		return 0, err
	}
	fields["Waiting"], fields["Epoch"], fields["ViewAgeMs"] = a.Waiting, a.Epoch, a.ViewAge.Milliseconds()
	in.cfg.Log.WithFields(fields).Info("waiting lookup")
	return a.Waiting, nil
}

// askLeader retries a lookup until it succeeds or ctx ends.
func askLeader[T any](ctx context.Context, ask func() (T, error)) (T, error) {
	for {
		a, err := ask()
		if err == nil {
			return a, nil
		}
		clock.Sleep(ctx, askRetryDelay)
		if ctx.Err() != nil {
			return a, eris.Wrap(ErrNoAnswer, err.Error())
		}
	}
}

// recordOutcome logs a request's outcome and adds it to the metrics.
func (in *Intake) recordOutcome(kind string, r Route, id job.ID, began time.Time, err error) {
	outcome := "accepted"
	switch {
	case err == nil:
	case errors.Is(err, job.ErrInvalid):
		outcome = "invalid"
	case errors.Is(err, ErrUndecided):
		outcome = "undecided"
	case errors.Is(err, ErrOverloaded):
		outcome = "overloaded"
	default:
		outcome = "not accepted"
	}
	took := time.Since(began)
	in.cfg.Metrics.Observe("request_time", took, metric.Label{Name: "Kind", Value: kind}, metric.Label{Name: "Queue", Value: r.Queue.Name})
	in.cfg.Metrics.Count("requests", 1, metric.Label{Name: "Kind", Value: kind}, metric.Label{Name: "Outcome", Value: outcome})
	in.countWorkspace(kind, outcome, r.Workspace)
	fields := logrus.Fields{"Job": string(id), "Queue": r.Queue.Name, "Version": r.Version, "Outcome": outcome, "TookMs": took.Milliseconds()}
	r.addWorkspace(fields)
	if err != nil {
		fields["Error"] = err.Error()
	}
	in.cfg.Log.WithFields(fields).Info(kind)
}
