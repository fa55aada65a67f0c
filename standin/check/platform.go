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

// PlatformEstate is the platform that the walk runs on.
func PlatformEstate() (*estate.Estate, error) {
	e, err := estate.New(estate.Config{
		Services: map[string]int{"desk": 2, "quotes": 2, "spare": 2}, Spare: "spare", TaskTime: 50 * time.Millisecond, MaxRuns: 20,
		Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0}, MoveTime: 50 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	e.Publish()
	return e, nil
}

// PlatformHosts starts two entry hosts on an estate.
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

// platformPath submits a job on the platform's path, reads it at another host, and
// cancels one that lasts.
func platformPath(*deployment.Deployment) error {
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
	const lasting = "/quotes/00000000000000a2"
	steps := []struct {
		what string
		is   func() bool
	}{
		{"a job is accepted", func() bool {
			status, _ := hosts[0].Ask(fasthttp.MethodPost, short, `{"Spec":"x","Steps":[{"Count":3,"Cpu":1000}]}`)
			return status == fasthttp.StatusOK
		}},
		{"it completes", func() bool { return hosts[1].State(short) == "completed" }},
		{"a job that lasts is accepted", func() bool {
			status, _ := hosts[1].Ask(fasthttp.MethodPost, lasting, `{"Spec":"lasts","Steps":[{"Count":1,"Cpu":1000,"LongRunning":true}]}`)
			return status == fasthttp.StatusOK
		}},
		{"it runs", func() bool { return hosts[0].State(lasting) == "running" }},
		{"its cancellation is accepted", func() bool {
			status, _ := hosts[0].Ask(fasthttp.MethodDelete, lasting, "")
			return status == fasthttp.StatusOK
		}},
		{"it is cancelled", func() bool { return hosts[1].State(lasting) == "cancelled" }},
	}
	for _, s := range steps {
		if !within(stepTimeout, s.is) {
			return eris.Wrapf(ErrWrong, "not in time: %s", s.what)
		}
	}
	if n := len(e.Starts()); n != 4 {
		return eris.Wrapf(ErrWrong, "%d starts, 4 tasks", n)
	}
	return nil
}

// within reports whether something comes about in time.
func within(d time.Duration, is func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}
