package whole

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

// ErrViolation is returned if a run violated a guarantee.
var ErrViolation = eris.New("a guarantee was violated")

// Parameters of a run.
const (
	entryHostsPerDataCentre = 3
	// operatorHost is the index of the entry host that operators use; it runs to the
	// end.
	operatorHost = 2
	meanRate     = 200.0
	burstFactor  = 5.0
	quietFactor  = 0.05
	// convergenceTimeout bounds the wait for convergence after the last request.
	convergenceTimeout = 25 * time.Second
	changeInterval     = 500 * time.Millisecond
	noticeTime         = 300 * time.Millisecond
	stopTime           = 10 * time.Second
	readyTimeout       = 10 * time.Second
)

// Observed objects.
const (
	waveID       = inventory.WaveID("Campanella-monthly")
	observedPool = inventory.PoolID("Schedules")
)

// trafficTypes are the requests that the callers send.
var trafficTypes = []trafficType{
	{tenant: "Secretaries", service: "Announcements"},
	{tenant: "Editors", service: "Announcements"},
}

// Run is a run of the check.
type Run struct {
	options    measure.Options
	deployment *deployment.Deployment
	balancer   *ReadyBalancer
	observer   *Observer
	jobs       *Submitter
	operator   *client.Client
	mu         sync.Mutex
	// accepted are the versions of accepted changes; guarded by mu.
	accepted []configuration.Version
}

// Report is the outcome of a run.
type Report struct {
	Requests, Answered, NotRun, Unknown, ConnectionBroken int
	// Dropped requests were never sent.
	Dropped int
	Changes int
	// VersionSamples, HostSamples and PoolSamples count samples of versions, of the
	// pools of hosts and of the observed pool's budget.
	VersionSamples, HostSamples, PoolSamples int
	// Jobs counts accepted jobs, Rebooted the rebooted hosts of the wave.
	Jobs, Rebooted int
	// Billed is the total of the bill in host-milliseconds.
	Billed     int64
	Violations []Violation
}

// Check runs the whole product for the options' duration and reports the violated
// guarantees.
func Check(log logrus.FieldLogger, o measure.Options) (Report, error) {
	d, err := deployment.Start(deployment.Options{
		Log: log, EntryHosts: entryHostsPerDataCentre, Owner: "Campanella", NoticeTime: noticeTime, StopTime: stopTime,
	})
	if err != nil {
		return Report{}, err
	}
	defer d.Stop()
	r := &Run{
		options: o, deployment: d, operator: newOperator(d), balancer: NewReadyBalancer(d.Entries), observer: NewObserver(d, observedPool),
		jobs: NewSubmitter(newOperator(d)),
	}
	return r.run()
}

func (r *Run) run() (Report, error) {
	if err := r.publish("sample", deployment.Sample()); err != nil {
		return Report{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.balancer.Run(ctx)
	if err := r.awaitReady(); err != nil {
		return Report{}, err
	}
	go r.observer.Run(ctx, r.entries)
	requests, dropped, err := r.generateLoad()
	if err != nil {
		return Report{}, err
	}
	r.awaitConvergence()
	jobs := r.jobs.AwaitEnds(time.Now().Add(convergenceTimeout), r.taskStarts)
	bill, err := r.readBill()
	if err != nil {
		return Report{}, err
	}
	stop()
	return r.newReport(requests, dropped, jobs, bill), nil
}

func (r *Run) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(probeInterval) {
		if r.balancer.Ready() == len(r.deployment.Entries) {
			return nil
		}
	}
	return eris.Errorf("%d of %d entry hosts are ready after %s", r.balancer.Ready(), len(r.deployment.Entries), readyTimeout)
}

// generateLoad sends requests and triggers the events.
func (r *Run) generateLoad() ([]Request, int, error) {
	callers := NewCallers(r.balancer, r.options.Seed, trafficTypes)
	began := time.Now()
	next, sent, changed, submitted := 0, 0, 0, 0
	due := 0.0
	last := began
	for {
		now := time.Now()
		share := float64(now.Sub(began)) / float64(r.options.Duration)
		if share >= 1 {
			break
		}
		for next < len(events) && share >= events[next].at {
			r.options.Progress(events[next].name)
			if err := events[next].run(r); err != nil {
				return nil, 0, eris.Wrap(err, events[next].name)
			}
			next++
		}
		if int(now.Sub(began)/changeInterval) > changed {
			changed++
			go r.publishChange(changed)
		}
		if int(now.Sub(began)/jobInterval) > submitted {
			submitted++
			r.jobs.Submit(submitted)
		}
		due += requestRate(share) * now.Sub(last).Seconds()
		last = now
		for ; due >= 1; due-- {
			callers.Send(sent)
			sent++
		}
		time.Sleep(time.Millisecond)
	}
	r.options.Progress("waiting for the last answers")
	requests, dropped := callers.Wait()
	return requests, dropped, nil
}

// requestRate returns the requests per second at a fraction of the run: two bursts,
// each followed by a quiet period.
func requestRate(share float64) float64 {
	switch {
	case share > 0.15 && share < 0.25, share > 0.55 && share < 0.65:
		return meanRate * burstFactor
	case share > 0.65 && share < 0.75, share > 0.9:
		return meanRate * quietFactor
	}
	return meanRate
}

// awaitConvergence waits until all live hosts have the newest accepted version and the
// wave has rebooted its hosts.
func (r *Run) awaitConvergence() {
	r.options.Progress("waiting for all hosts to converge and for the wave to finish")
	for end := time.Now().Add(convergenceTimeout); time.Now().Before(end); time.Sleep(observeInterval) {
		o := Observation{Accepted: r.acceptedVersions()}
		r.observer.Fill(&o)
		if len(verifyVersions(o)) == 0 && len(verifyReboots(o)) == 0 {
			return
		}
	}
}

func (r *Run) entries() []*deployment.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.deployment.Entries)
}

func (r *Run) startEntry(name inventory.EntryID, dc inventory.DataCentreID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, err := r.deployment.StartEntry(name, dc)
	if err != nil {
		return err
	}
	r.balancer.Add(e)
	return nil
}

func (r *Run) acceptedVersions() []configuration.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.accepted)
}

// newOperator returns a client of an operator of Campanella.
func newOperator(d *deployment.Deployment) *client.Client {
	return client.New(d.Entries[operatorHost].Settings.OperatorAddress, "campanella-operator")
}

// publish publishes a change through the operator's host, which is neither isolated nor
// stopped before the end of the run.
func (r *Run) publish(id journal.RecordID, set configuration.Objects) error {
	c := r.operator
	var cfg configuration.Configuration
	if err := c.Get("/configuration", &cfg); err != nil {
		return err
	}
	var v journal.Result
	if err := c.Post("/changes", operation.Publication{ID: id, Change: configuration.Change{Base: cfg.Version, Set: set}}, &v); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, configuration.Version(v.Offset)+1)
	return nil
}

func (r *Run) newReport(requests []Request, dropped int, jobs []JobSample, bill *Bill) Report {
	o := Observation{Requests: requests, Executions: r.deployment.Executions(), Accepted: r.acceptedVersions(), Jobs: jobs, Bill: bill}
	r.observer.Fill(&o)
	out := Report{
		Requests: len(requests), Dropped: dropped, Changes: len(o.Accepted), VersionSamples: len(o.Versions),
		HostSamples: o.HostSamples, PoolSamples: len(o.Pools), Jobs: len(jobs), Rebooted: len(o.Reboots), Billed: bill.Total, Violations: Verify(o),
	}
	for _, q := range requests {
		switch q.Attempts[len(q.Attempts)-1].Outcome {
		case retry.Answered:
			out.Answered++
		case retry.NotRun:
			out.NotRun++
		case retry.Unknown:
			out.Unknown++
		default:
			out.ConnectionBroken++
		}
	}
	return out
}

// Lines returns the report as text.
func (p Report) Lines() []string {
	lines := []string{
		fmt.Sprintf("requests %d: answered %d, not run %d, unknown %d, connection broken %d; never sent %d", p.Requests, p.Answered, p.NotRun, p.Unknown, p.ConnectionBroken, p.Dropped),
		fmt.Sprintf("configuration changes accepted %d, version samples %d", p.Changes, p.VersionSamples),
		fmt.Sprintf("hosts of the wave %d, samples of its pool's budget %d, samples of the pools of hosts %d", p.Rebooted, p.PoolSamples, p.HostSamples),
		fmt.Sprintf("jobs accepted %d, host-milliseconds billed %d", p.Jobs, p.Billed),
	}
	for _, v := range p.Violations {
		lines = append(lines, fmt.Sprintf("BROKEN %s: %s", v.Rule, v.Details))
	}
	return lines
}
