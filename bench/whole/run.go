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

// Shape of a run.
const (
	entryHostsPerDataCentre = 3
	// operatedHost is the entry host that operators use; it stays to the end.
	operatedHost = 2
	meanRate     = 200.0
	burstFactor  = 5.0
	quietFactor  = 0.05
	// settleTime bounds the wait for everything to end after the last request.
	settleTime  = 25 * time.Second
	changeEvery = 500 * time.Millisecond
	noticeTime  = 300 * time.Millisecond
	stopTime    = 10 * time.Second
	readyTime   = 10 * time.Second
)

// What a run looks at.
const (
	wave        = inventory.WaveID("Campanella-monthly")
	watchedPool = inventory.PoolID("Schedules")
)

// callTraffic is what callers ask for.
var callTraffic = []traffic{
	{tenant: "Secretaries", service: "Announcements"},
	{tenant: "Editors", service: "Announcements"},
}

// Run is one run of the check.
type Run struct {
	o        measure.Options
	d        *deployment.Deployment
	balancer *ReadyHosts
	observer *Observer
	jobs     *Submitter
	operator *client.Client
	mu       sync.Mutex
	// accepted are the versions of accepted changes; guarded by mu.
	accepted []configuration.Version
}

// Report is the outcome of a run.
type Report struct {
	Requests, Answered, NotRun, Unknown, Broken int
	// Dropped requests were never sent.
	Dropped int
	Changes int
	// Samples, HostLooks and PoolLooks count looks at versions, at hosts' pools and
	// at the watched pool's budget.
	Samples, HostLooks, PoolLooks int
	// Jobs were accepted; Rebooted hosts are those of the wave.
	Jobs, Rebooted int
	// Billed is the whole of the bill that was looked at, in host-milliseconds.
	Billed     int64
	Violations []Violation
}

// Check runs the whole product for the options' duration and judges it.
func Check(log logrus.FieldLogger, o measure.Options) (Report, error) {
	d, err := deployment.Start(deployment.Options{
		Log: log, EntryHosts: entryHostsPerDataCentre, Owner: "Campanella", NoticeTime: noticeTime, StopTime: stopTime,
	})
	if err != nil {
		return Report{}, err
	}
	defer d.Stop()
	r := &Run{
		o: o, d: d, operator: newOperator(d), balancer: NewReadyHosts(d.Entries), observer: NewObserver(d, watchedPool),
		jobs: NewSubmitter(newOperator(d)),
	}
	return r.check()
}

func (r *Run) check() (Report, error) {
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
	requests, dropped, err := r.drive()
	if err != nil {
		return Report{}, err
	}
	r.settle()
	jobs := r.jobs.Samples(time.Now().Add(settleTime), r.taskStarts)
	bill, err := r.readBill()
	if err != nil {
		return Report{}, err
	}
	stop()
	return r.report(requests, dropped, jobs, bill), nil
}

func (r *Run) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(probeEvery) {
		if r.balancer.Ready() == len(r.d.Entries) {
			return nil
		}
	}
	return eris.Errorf("%d of %d entry hosts are ready after %s", r.balancer.Ready(), len(r.d.Entries), readyTime)
}

// drive sends requests and brings the events about.
func (r *Run) drive() ([]Request, int, error) {
	callers := NewCallers(r.balancer, r.o.Seed, callTraffic)
	began := time.Now()
	next, sent, changed, submitted := 0, 0, 0, 0
	due := 0.0
	last := began
	for {
		now := time.Now()
		share := float64(now.Sub(began)) / float64(r.o.Duration)
		if share >= 1 {
			break
		}
		for next < len(events) && share >= events[next].at {
			r.o.Progress(events[next].name)
			if err := events[next].run(r); err != nil {
				return nil, 0, eris.Wrap(err, events[next].name)
			}
			next++
		}
		if int(now.Sub(began)/changeEvery) > changed {
			changed++
			go r.change(changed)
		}
		if int(now.Sub(began)/jobEvery) > submitted {
			submitted++
			r.jobs.Submit(submitted)
		}
		due += rate(share) * now.Sub(last).Seconds()
		last = now
		for ; due >= 1; due-- {
			callers.Send(sent)
			sent++
		}
		time.Sleep(time.Millisecond)
	}
	r.o.Progress("waiting for the last answers")
	requests, dropped := callers.Wait()
	return requests, dropped, nil
}

// rate returns the requests a second at a share of the run: twice a burst, and
// quiet after each.
func rate(share float64) float64 {
	switch {
	case share > 0.15 && share < 0.25, share > 0.55 && share < 0.65:
		return meanRate * burstFactor
	case share > 0.65 && share < 0.75, share > 0.9:
		return meanRate * quietFactor
	}
	return meanRate
}

// settle waits until all live hosts have the newest accepted version and the
// wave has rebooted its hosts.
func (r *Run) settle() {
	r.o.Progress("waiting for all hosts to agree and for the wave's end")
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(observeEvery) {
		o := Observation{Accepted: r.acceptedVersions()}
		r.observer.Fill(&o)
		if len(judgeVersions(o)) == 0 && len(judgeReboots(o)) == 0 {
			return
		}
	}
}

func (r *Run) entries() []*deployment.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.d.Entries)
}

func (r *Run) startEntry(name inventory.EntryID, dc inventory.DataCentreID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, err := r.d.StartEntry(name, dc)
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

// newOperator returns the client of an operator of Campanella.
func newOperator(d *deployment.Deployment) *client.Client {
	return client.New(d.Entries[operatedHost].Settings.OperatorAddress, "campanella-operator")
}

// publish makes a change through the last host, which is never cut off or stopped
// before its end.
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

func (r *Run) report(requests []Request, dropped int, jobs []JobSample, bill *Bill) Report {
	o := Observation{Requests: requests, Executions: r.d.Executions(), Accepted: r.acceptedVersions(), Jobs: jobs, Bill: bill}
	r.observer.Fill(&o)
	out := Report{
		Requests: len(requests), Dropped: dropped, Changes: len(o.Accepted), Samples: len(o.Versions),
		HostLooks: o.HostLooks, PoolLooks: len(o.Pools), Jobs: len(jobs), Rebooted: len(o.Reboots), Billed: bill.Total, Violations: Judge(o),
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
			out.Broken++
		}
	}
	return out
}

// Lines returns the report as text.
func (p Report) Lines() []string {
	lines := []string{
		fmt.Sprintf("requests %d: answered %d, not run %d, unknown %d, connection broken %d; never sent %d", p.Requests, p.Answered, p.NotRun, p.Unknown, p.Broken, p.Dropped),
		fmt.Sprintf("configuration changes accepted %d, looks at versions %d", p.Changes, p.Samples),
		fmt.Sprintf("hosts of the wave %d, looks at its pool's budget %d, looks at hosts' pools %d", p.Rebooted, p.PoolLooks, p.HostLooks),
		fmt.Sprintf("jobs accepted %d, host-milliseconds billed %d", p.Jobs, p.Billed),
	}
	for _, v := range p.Violations {
		lines = append(lines, fmt.Sprintf("BROKEN %s: %s", v.Rule, v.What))
	}
	return lines
}
