package platform

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
)

// worker is a platform with one worker and a manual clock.
type worker struct {
	t   *testing.T
	p   *Platform
	now time.Time
}

func newWorker(t *testing.T) *worker {
	w := &worker{t: t, now: time.Unix(1_700_000_000, 0)}
	w.p = New(Options{Now: func() time.Time { return w.now }})
	w.p.Fleet.Put(inventory.WorkerInfo{ID: "w", Size: inventory.Size{Cores: 4000, Memory: inventory.Gibibyte}})
	return w
}

// call sends a request and returns the status and the answer.
func (w *worker) call(method, path string, body, into any) int {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	b, err := json.Marshal(body)
	require.NoError(w.t, err)
	ctx.Request.SetBody(b)
	w.p.Handle(&ctx)
	if into != nil && ctx.Response.StatusCode() == fasthttp.StatusOK {
		require.NoError(w.t, json.Unmarshal(ctx.Response.Body(), into))
	}
	return ctx.Response.StatusCode()
}

func (w *worker) start(id string, s StartTask) int {
	s.Term, s.RunTime, s.Size = time.Minute, time.Hour, inventory.Size{Cores: 1000}
	return w.call("POST", "/workers/w/tasks/"+id, s, nil)
}

func TestWorkerTaskGuarantees(t *testing.T) {
	t.Run("a task that is stopped before its start never runs", func(t *testing.T) {
		w := newWorker(t)
		var stopped, started Task
		require.Equal(t, fasthttp.StatusOK, w.call("POST", "/workers/w/tasks/j.1/stop", command{Epoch: 2}, &stopped))
		require.Equal(t, fasthttp.StatusOK, w.call("POST", "/workers/w/tasks/j.1", StartTask{Epoch: 2, Term: time.Minute}, &started))
		require.Zero(t, started.Starts)
	})
	t.Run("epochs of task commands do not fence host commands", func(t *testing.T) {
		w := newWorker(t)
		require.Equal(t, fasthttp.StatusOK, w.start("j.1", StartTask{Epoch: 5}))
		require.Equal(t, fasthttp.StatusConflict, w.start("j.2", StartTask{Epoch: 4}))
		require.Equal(t, fasthttp.StatusOK, w.call("POST", "/pools/hosts/w/drain", command{Epoch: 1}, nil))
	})
	t.Run("a start for an earlier restart count is rejected", func(t *testing.T) {
		w := newWorker(t)
		w.p.Fleet.workers["w"].Reboots = 1
		require.Equal(t, fasthttp.StatusConflict, w.start("j.1", StartTask{Epoch: 1}))
		require.Equal(t, fasthttp.StatusOK, w.start("j.1", StartTask{Epoch: 1, Boot: 1}))
	})
	t.Run("a renewal extends all leases", func(t *testing.T) {
		w := newWorker(t)
		w.start("j.1", StartTask{Epoch: 1})
		w.now = w.now.Add(50 * time.Second)
		require.Equal(t, fasthttp.StatusOK, w.call("POST", "/workers/w/renew", command{Epoch: 1, Term: time.Minute}, nil))
		w.now = w.now.Add(50 * time.Second)
		var got Worker
		w.call("GET", "/workers/w", nil, &got)
		require.Equal(t, TaskRunning, got.Tasks["j.1"].State)
	})
}

func TestUsageReportsAreDelayedRepeatedOrMissing(t *testing.T) {
	for _, c := range []struct {
		name string
		kind fault.Kind
		want []int64
	}{
		{"delayed", "", []int64{0, 1_000_000}},
		{"repeated", fault.UsageRepeated, []int64{0, 1_000_000, 0, 1_000_000}},
		{"missing", fault.UsageMissing, []int64{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorker(t)
			w.start("j.1", StartTask{Epoch: 1})
			for range 2 {
				w.call("GET", "/workers/w/usage", nil, nil)
				w.now = w.now.Add(time.Second)
			}
			if c.kind != "" {
				w.p.Faults.Set(fault.Fault{Kind: c.kind, Target: "w", Count: 1})
			}
			var reports []UsageReport
			require.Equal(t, fasthttp.StatusOK, w.call("GET", "/workers/w/usage", nil, &reports))
			var used []int64
			for _, r := range reports {
				used = append(used, r.Used)
			}
			require.Equal(t, c.want, used)
		})
	}
}
