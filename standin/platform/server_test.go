package platform

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
)

// clock is a manual clock of a platform.
type clock struct{ now time.Time }

func newPlatform(o Options) (*Platform, *clock) {
	c := &clock{now: time.Unix(1_000_000, 0)}
	o.Now = func() time.Time { return c.now }
	return New(o), c
}

// do answers one request and decodes the answer into a value.
func do(t *testing.T, p *Platform, method, path string, body, into any) int {
	t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	if body != nil {
		b, err := json.Marshal(body)
		require.NoError(t, err)
		ctx.Request.SetBody(b)
	}
	p.Handle(&ctx)
	if into != nil {
		require.NoError(t, json.Unmarshal(ctx.Response.Body(), into))
	}
	return ctx.Response.StatusCode()
}

func records(values ...int) appendRequest {
	var r appendRequest
	for _, v := range values {
		r.Records = append(r.Records, json.RawMessage(fmt.Sprint(v)))
	}
	return r
}

func TestLogKeepsOffsetsThroughRetention(t *testing.T) {
	p, _ := newPlatform(Options{Retention: 3})
	var a appendAnswer
	require.Equal(t, 200, do(t, p, "POST", "/log/streams/S/records", records(1, 2), &a))
	require.Equal(t, int64(0), a.First)
	require.Equal(t, 200, do(t, p, "POST", "/log/streams/S/records", records(3, 4), &a))
	require.Equal(t, int64(2), a.First)
	var b Batch
	require.Equal(t, 410, do(t, p, "GET", "/log/streams/S/records?From=0&Max=10", nil, &b))
	require.Equal(t, int64(1), b.Oldest)
	require.Equal(t, 200, do(t, p, "GET", "/log/streams/S/records?From=1&Max=2", nil, &b))
	require.Equal(t, Batch{First: 1, End: 4, Oldest: 1, Records: []json.RawMessage{json.RawMessage("2"), json.RawMessage("3")}}, b)
	require.Equal(t, 200, do(t, p, "GET", "/log/streams/T/records?From=0&Max=2", nil, &b), "streams are independent")
	require.Empty(t, b.Records)
}

func TestLogLimitsAppendsPerSecond(t *testing.T) {
	p, c := newPlatform(Options{AppendsPerSecond: 2})
	for _, want := range []int{200, 200, 429} {
		require.Equal(t, want, do(t, p, "POST", "/log/streams/S/records", records(1), nil))
	}
	c.now = c.now.Add(time.Second)
	require.Equal(t, 200, do(t, p, "POST", "/log/streams/S/records", records(1), nil))
}

func TestLogFaults(t *testing.T) {
	tests := map[string]struct {
		kind fault.Kind
		kept int
	}{
		"down has no effect":               {fault.Down, 0},
		"a lost answer follows the effect": {fault.AnswerLost, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlatform(Options{})
			p.Faults.Set(fault.Fault{Kind: test.kind, Target: "log", Count: 1})
			do(t, p, "POST", "/log/streams/S/records", records(1), nil)
			b, _ := p.Log.Read("S", 0, 10)
			require.Len(t, b.Records, test.kept)
			require.Empty(t, p.Faults.List(), "the fault occurs once")
		})
	}
}

func TestHostListIsDelayedAndCanFreeze(t *testing.T) {
	p, c := newPlatform(Options{ListDelay: time.Second})
	p.Hosts.Put(c.now, inventory.ListedHost{ID: "h1", State: inventory.HostLive})
	var l inventory.HostList
	do(t, p, "GET", "/hosts", nil, &l)
	require.Empty(t, l.Hosts)
	c.now = c.now.Add(time.Second)
	do(t, p, "GET", "/hosts", nil, &l)
	require.Len(t, l.Hosts, 1)
	p.Faults.Set(fault.Fault{Kind: fault.StaleList, Count: fault.Forever})
	p.Hosts.SetState(c.now, "h1", inventory.HostLeaving)
	c.now = c.now.Add(time.Minute)
	do(t, p, "GET", "/hosts", nil, &l)
	require.Equal(t, inventory.HostLive, l.Hosts[0].State)
	p.Faults.Clear()
	do(t, p, "GET", "/hosts", nil, &l)
	require.Equal(t, inventory.HostLeaving, l.Hosts[0].State)
}

func TestWorkerFencesAndRunsATaskOnce(t *testing.T) {
	p, c := newPlatform(Options{})
	p.Fleet.Put(inventory.WorkerInfo{ID: "w1", Size: inventory.Size{Cores: 4000}})
	start := func(epoch int64) StartTask {
		return StartTask{Epoch: epoch, Term: 10 * time.Second, RunTime: 3 * time.Second, Size: inventory.Size{Cores: 2000}}
	}
	var task Task
	require.Equal(t, 200, do(t, p, "POST", "/workers/w1/tasks/j1", start(2), &task))
	require.Equal(t, 200, do(t, p, "POST", "/workers/w1/tasks/j1", start(2), &task), "a repeated start gets the same answer")
	require.Equal(t, 1, task.Starts)
	require.Equal(t, 409, do(t, p, "POST", "/workers/w1/tasks/j2", start(1), nil), "an older epoch is rejected")
	require.Equal(t, 507, do(t, p, "POST", "/workers/w1/tasks/j3", StartTask{Epoch: 2, Term: 1, Size: inventory.Size{Cores: 2001}}, nil))
	c.now = c.now.Add(5 * time.Second)
	var w Worker
	do(t, p, "GET", "/workers/w1", nil, &w)
	require.Equal(t, TaskDone, w.Tasks["j1"].State)
	require.Equal(t, int64(2000*3000), w.Tasks["j1"].Used, "usage ends with the task")
}

func TestExpiredLeaseStopsTask(t *testing.T) {
	p, c := newPlatform(Options{})
	p.Fleet.Put(inventory.WorkerInfo{ID: "w1", Size: inventory.Size{Cores: 4000}})
	do(t, p, "POST", "/workers/w1/tasks/j1", StartTask{Epoch: 1, Term: time.Second, RunTime: time.Minute}, nil)
	c.now = c.now.Add(2 * time.Second)
	var w Worker
	do(t, p, "GET", "/workers/w1", nil, &w)
	require.Equal(t, TaskStopped, w.Tasks["j1"].State)
}

func TestHostDrainsBeforeReboot(t *testing.T) {
	p, c := newPlatform(Options{})
	p.Fleet.Put(inventory.WorkerInfo{ID: "w1", Size: inventory.Size{Cores: 4000}})
	do(t, p, "POST", "/workers/w1/tasks/j1", StartTask{Epoch: 1, Term: time.Minute, RunTime: 5 * time.Second}, nil)
	var w Worker
	state := func(verb string) DrainState {
		do(t, p, "POST", "/pools/hosts/w1/"+verb, command{Epoch: 1}, &w)
		return w.State
	}
	require.Equal(t, Admitted, state("reboot"), "a host that is not drained does not reboot")
	require.Equal(t, Draining, state("drain"))
	require.Equal(t, 503, do(t, p, "POST", "/workers/w1/tasks/j2", StartTask{Epoch: 1, Term: time.Minute}, nil))
	c.now = c.now.Add(6 * time.Second)
	require.Equal(t, Rebooting, state("reboot"))
	c.now = c.now.Add(2 * time.Second)
	require.Equal(t, Admitted, state("admit"))
	require.Equal(t, 1, w.Reboots)
}
