package requests

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/standin/backend"
)

// maxAllocations limits the allocations of one request. They include those of the caller
// and the backend server, which run in the same process.
const maxAllocations = 40

// newRequestSender returns a function that sends one request and waits for its
// response.
func newRequestSender(t testing.TB) func() {
	tb := newTestbed(t)
	e := tb.addEntry("entry-1", "Palermo")
	l := tb.listen("Palermo")
	go func() { _ = backend.New(backend.Options{ID: "server-0", Slots: 8, Connections: 64}).Serve(l) }()
	tb.addServer("server-0", "Palermo", l.Addr().String())
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

// TestAllocationsPerRequest guards against new allocations on the path of a request.
func TestAllocationsPerRequest(t *testing.T) {
	send := newRequestSender(t)
	require.LessOrEqual(t, testing.AllocsPerRun(2000, send), float64(maxAllocations))
}

func BenchmarkRequest(b *testing.B) {
	send := newRequestSender(b)
	b.ReportAllocs()
	for b.Loop() {
		send()
	}
}
