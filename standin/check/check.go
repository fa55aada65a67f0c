// Package check runs an end-to-end check of a deployment and reports the result of
// each step.
package check

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/standin/backend"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

// ErrCheckFailed is returned by a step that observed an unexpected result.
var ErrCheckFailed = eris.New("wrong")

// stepTimeout limits how long a step waits for the expected state.
const stepTimeout = 10 * time.Second

// Step is one step of the check.
type Step struct {
	Name string
	Run  func(d *deployment.Deployment) error
}

// Steps are the steps of the check in order.
var Steps = []Step{
	{"publish the sample configuration", publishSample},
	{"all entry hosts are ready", awaitReady},
	{"a request of each service is answered", requestEachService},
	{"a changed label moves a host", moveHost},
	{"a wave reboots each host once", runWave},
	{"a job runs to its end", runJobs},
	{"the bill adds up for both owners", verifyBills},
	{"operators and callers prove who they are over TLS", authenticateOverTLS},
	{"a stopped entry host cuts off no request", stopWithRequestsInFlight},
	{"no request was executed twice", verifySingleExecution},
	{"on the platform's path a job is submitted, run, read and cancelled", runJobsOnPlatform},
}

// Run runs the steps in order, writes one line for each, and stops at the first failure.
func Run(w io.Writer, d *deployment.Deployment) error {
	for _, s := range Steps {
		start := time.Now()
		err := s.Run(d)
		if err != nil {
			fmt.Fprintf(w, "WRONG  %s: %s\n", s.Name, err)
			return eris.Wrap(err, s.Name)
		}
		fmt.Fprintf(w, "ok     %s (%s)\n", s.Name, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

func publishSample(d *deployment.Deployment) error {
	return Publish(d, "sample", configuration.Change{Set: deployment.Sample()}, "corchos-operator")
}

// Publish publishes a change through the first entry host. It fails unless the change is
// accepted.
func Publish(d *deployment.Deployment, id journal.RecordID, c configuration.Change, by inventory.OperatorID) error {
	var v journal.Result
	cl := client.New(d.Entries[0].Settings.OperatorAddress, by)
	defer cl.Close()
	if err := cl.Post("/changes", operation.Publication{ID: id, Change: c}, &v); err != nil {
		return err
	}
	if v.Outcome != journal.Accepted {
		return eris.Wrapf(ErrCheckFailed, "the change was %s: %s", v.Outcome, v.Reason)
	}
	return nil
}

// awaitReady waits until each entry host is ready.
func awaitReady(d *deployment.Deployment) error {
	for _, e := range d.Entries {
		c := client.New(e.Settings.OperatorAddress, "")
		if err := await(func() error { var s string; return c.Get("/ready", &s) }); err != nil {
			return eris.Wrapf(err, "entry host %s", e.Settings.Name)
		}
	}
	return nil
}

// await calls probe until it succeeds, for at most stepTimeout.
func await(probe func() error) error {
	return awaitFor(stepTimeout, probe)
}

// awaitFor calls probe until it succeeds or the limit is over, and returns its last error.
func awaitFor(limit time.Duration, probe func() error) error {
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = probe(); err == nil {
			return nil
		}
	}
	return err
}

// request is a request of a caller to a service.
type request struct {
	address string
	method  string
	service inventory.ServiceID
	tenant  inventory.TenantID
	key     string
	work    time.Duration
}

// send sends the request and returns the status code and the outcome header.
func (r request) send() (int, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + r.address + "/services/" + string(r.service) + "/check")
	req.Header.Set(caller.HeaderTenant, string(r.tenant))
	req.Header.Set(backend.HeaderKey, r.key)
	req.Header.Set(backend.HeaderWork, fmt.Sprint(r.work.Milliseconds()))
	c := fasthttp.HostClient{Addr: r.address, MaxIdemponentCallAttempts: 1}
	err := c.DoTimeout(req, resp, stepTimeout)
	c.CloseIdleConnections()
	return resp.StatusCode(), string(resp.Header.Peek(caller.HeaderOutcome)), err
}

// requestEachService sends a GET and a POST as each tenant to each of its services.
func requestEachService(d *deployment.Deployment) error {
	for tenant, t := range deployment.Sample().Tenants {
		for service := range t.Services {
			for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
				r := request{d.Entries[0].Settings.CallerAddress, method, service, tenant, fmt.Sprintf("%s-%s-%s", method, service, tenant), time.Millisecond}
				status, outcome, err := r.send()
				if err != nil || status != fasthttp.StatusOK || outcome != "Answered" {
					return eris.Wrapf(ErrCheckFailed, "%s %s by %s: status %d, outcome %q, error %v", method, service, tenant, status, outcome, err)
				}
			}
		}
	}
	return nil
}

// stopWithRequestsInFlight stops an entry host while requests are in flight. Each of them
// must be answered.
func stopWithRequestsInFlight(d *deployment.Deployment) error {
	const inFlight = 20
	e := d.Entries[len(d.Entries)-1]
	results := make(chan error, inFlight)
	for i := range inFlight {
		go func() {
			r := request{e.Settings.CallerAddress, fasthttp.MethodPost, "Schedules", "Secretaries", fmt.Sprintf("stop-%d", i), 500 * time.Millisecond}
			status, _, err := r.send()
			if err == nil && status != fasthttp.StatusOK {
				err = eris.Wrapf(ErrCheckFailed, "status %d", status)
			}
			results <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := e.Stop(); err != nil {
		return eris.Wrap(err, "stopping the entry host")
	}
	for range inFlight {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// verifySingleExecution fails if a backend server executed a request more than once.
func verifySingleExecution(d *deployment.Deployment) error {
	for k, n := range d.Executions() {
		if n > 1 {
			return eris.Wrapf(ErrCheckFailed, "%s was executed %d times", k, n)
		}
	}
	return nil
}
