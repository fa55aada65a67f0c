package requests

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/standin/backend"
)

// maxAllocations bounds the allocations of one request, those of the caller and
// of the server in the same process included.
const maxAllocations = 40

// newCaller returns a function that sends one request and waits for its answer.
func newCaller(t testing.TB) func() {
	w := newWorld(t)
	e := w.addEntry("entry-1", "Palermo")
	l := w.listen("Palermo")
	go func() { _ = backend.New(backend.Options{ID: "server-0", Slots: 8, Connections: 64}).Serve(l) }()
	w.addServer("server-0", "Palermo", l.Addr().String())
	c := &fasthttp.HostClient{Addr: e.address, MaxIdemponentCallAttempts: 1}
	t.Cleanup(c.CloseIdleConnections)
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + e.address + "/services/Bells/x")
	req.Header.Set(caller.HeaderTenant, "Secretaries")
	return func() {
		if err := c.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			t.Fatal(err, resp.StatusCode())
		}
	}
}

func TestAllocationsOfARequest(t *testing.T) {
	send := newCaller(t)
	require.LessOrEqual(t, testing.AllocsPerRun(2000, send), float64(maxAllocations))
}

func BenchmarkRequest(b *testing.B) {
	send := newCaller(b)
	b.ReportAllocs()
	for b.Loop() {
		send()
	}
}
