package check

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/estate"
	"github.com/godwitcross/godwitcross/standin/local"
)

// PlatformEstate returns the simulated platform that the check runs jobs on.
func PlatformEstate() (*estate.Estate, error) {
	e, err := estate.New(estate.Config{
		Services: map[string]int{"desk": 2, "quotes": 2, "spare": 2}, Spare: "spare", TaskTime: 50 * time.Millisecond, MaxRuns: 20,
		Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0}, MoveTime: 50 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	e.PublishConfiguration()
	return e, nil
}

// PlatformHosts starts two entry hosts on the simulated platform. On failure it returns the
// hosts that are already running.
func PlatformHosts(e *estate.Estate, log logrus.FieldLogger) ([]*local.Host, error) {
	var control []string
	for range 2 {
		a, err := local.FreeAddress()
		if err != nil {
			return nil, err
		}
		control = append(control, a)
	}
	var hosts []*local.Host
	for i, name := range []string{"entry-1", "entry-2"} {
		h, err := local.Start(e, log, name, control, control[i])
		if err != nil {
			return hosts, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// runJobsOnPlatform submits a job through one entry host and reads its state from another,
// then cancels a job that is running.
func runJobsOnPlatform(*deployment.Deployment) error {
	e, err := PlatformEstate()
	if err != nil {
		return err
	}
	defer e.Stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	hosts, err := PlatformHosts(e, log)
	if err != nil {
		return err
	}
	defer func() {
		for _, h := range hosts {
			h.Stop()
		}
	}()
	const short = "/desk/00000000000000a1"
	const long = "/quotes/00000000000000a2"
	steps := []struct {
		description string
		reached     func() bool
	}{
		{"a job is accepted", func() bool {
			status, _ := hosts[0].SendRequest(fasthttp.MethodPost, short, `{"Spec":"x","Steps":[{"Count":3,"Cpu":1000}]}`)
			return status == fasthttp.StatusOK
		}},
		{"it completes", func() bool { return hosts[1].State(short) == "completed" }},
		{"a job that lasts is accepted", func() bool {
			status, _ := hosts[1].SendRequest(fasthttp.MethodPost, long, `{"Spec":"lasts","Steps":[{"Count":1,"Cpu":1000,"LongRunning":true}]}`)
			return status == fasthttp.StatusOK
		}},
		{"it runs", func() bool { return hosts[0].State(long) == "running" }},
		{"its cancellation is accepted", func() bool {
			status, _ := hosts[0].SendRequest(fasthttp.MethodDelete, long, "")
			return status == fasthttp.StatusOK
		}},
		{"it is cancelled", func() bool { return hosts[1].State(long) == "cancelled" }},
	}
	for _, s := range steps {
		if !becomesTrue(stepTimeout, s.reached) {
			return eris.Wrapf(ErrCheckFailed, "timed out waiting for the state: %s", s.description)
		}
	}
	if n := len(e.Starts()); n != 4 {
		return eris.Wrapf(ErrCheckFailed, "%d task starts in place of 4", n)
	}
	return nil
}

// becomesTrue polls the condition and reports whether it holds before the time is over.
func becomesTrue(d time.Duration, is func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}
