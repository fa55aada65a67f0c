// Package check walks the whole path of a deployment and says of each step
// whether it did what it should.
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

// ErrWrong is returned by a step that saw something wrong.
var ErrWrong = eris.New("wrong")

// stepTimeout bounds the wait of a step for something to come about.
const stepTimeout = 10 * time.Second

// Step is one part of the walk.
type Step struct {
	Name string
	Run  func(d *deployment.Deployment) error
}

// Steps are the parts of the walk in order.
var Steps = []Step{
	{"publish the sample configuration", publishSample},
	{"all entry hosts are ready", allReady},
	{"a request of each service is answered", requestEach},
	{"a changed label moves a host", moveHost},
	{"a wave reboots each host once", runWave},
	{"a job runs to its end", jobRuns},
	{"the bill adds up for both owners", billAddsUp},
	{"operators and callers prove who they are over TLS", overTLS},
	{"a stopped entry host cuts off no request", stopWithRequests},
	{"no request was executed twice", noDoubles},
	{"on the platform's path a job is submitted, run, read and cancelled", platformPath},
}

// Run walks all steps, writes a line for each, and ends at the first that is wrong.
func Run(w io.Writer, d *deployment.Deployment) error {
	for _, s := range Steps {
		began := time.Now()
		err := s.Run(d)
		if err != nil {
			fmt.Fprintf(w, "WRONG  %s: %s\n", s.Name, err)
			return eris.Wrap(err, s.Name)
		}
		fmt.Fprintf(w, "ok     %s (%s)\n", s.Name, time.Since(began).Round(time.Millisecond))
	}
	return nil
}

func publishSample(d *deployment.Deployment) error {
	return Publish(d, "sample", configuration.Change{Set: deployment.Sample()}, "corchos-operator")
}

// Publish publishes a change through the first entry host.
func Publish(d *deployment.Deployment, id journal.RecordID, c configuration.Change, by inventory.OperatorID) error {
	var v journal.Result
	err := client.New(d.Entries[0].Settings.OperatorAddress, by).Post("/changes", operation.Publication{ID: id, Change: c}, &v)
	if err != nil {
		return err
	}
	if v.Outcome != journal.Accepted {
		return eris.Wrapf(ErrWrong, "the change was %s: %s", v.Outcome, v.Reason)
	}
	return nil
}

func allReady(d *deployment.Deployment) error {
	for _, e := range d.Entries {
		c := client.New(e.Settings.OperatorAddress, "")
		if err := await(func() error { var s string; return c.Get("/ready", &s) }); err != nil {
			return eris.Wrapf(err, "entry host %s", e.Settings.Name)
		}
	}
	return nil
}

// await repeats a question until the answer is right or the step's time is over.
func await(ask func() error) error {
	return awaitFor(stepTimeout, ask)
}

func awaitFor(limit time.Duration, ask func() error) error {
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = ask(); err == nil {
			return nil
		}
	}
	return err
}

// request is one request of a caller.
type request struct {
	address string
	method  string
	service inventory.ServiceID
	tenant  inventory.TenantID
	key     string
	work    time.Duration
}

// send sends a request and returns the status and the outcome header.
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

func requestEach(d *deployment.Deployment) error {
	for tenant, t := range deployment.Sample().Tenants {
		for service := range t.Services {
			for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
				r := request{d.Entries[0].Settings.CallerAddress, method, service, tenant, fmt.Sprintf("%s-%s-%s", method, service, tenant), time.Millisecond}
				status, outcome, err := r.send()
				if err != nil || status != fasthttp.StatusOK || outcome != "Answered" {
					return eris.Wrapf(ErrWrong, "%s %s by %s: status %d, outcome %q, error %v", method, service, tenant, status, outcome, err)
				}
			}
		}
	}
	return nil
}

func stopWithRequests(d *deployment.Deployment) error {
	const inFlight = 20
	e := d.Entries[len(d.Entries)-1]
	results := make(chan error, inFlight)
	for i := range inFlight {
		go func() {
			r := request{e.Settings.CallerAddress, fasthttp.MethodPost, "Schedules", "Secretaries", fmt.Sprintf("stop-%d", i), 500 * time.Millisecond}
			status, _, err := r.send()
			if err == nil && status != fasthttp.StatusOK {
				err = eris.Wrapf(ErrWrong, "status %d", status)
			}
			results <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := e.Stop(); err != nil {
		return eris.Wrap(err, "stopping")
	}
	for range inFlight {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

func noDoubles(d *deployment.Deployment) error {
	for k, n := range d.Executions() {
		if n > 1 {
			return eris.Wrapf(ErrWrong, "%s was executed %d times", k, n)
		}
	}
	return nil
}
