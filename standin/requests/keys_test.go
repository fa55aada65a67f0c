package requests

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/fault"
)

// newKeyTestbed returns a testbed with entry hosts in two data centres and one server
// that answers each request.
func newKeyTestbed(t *testing.T, hosts int) (*testbed, *scriptedServer) {
	tb := newTestbed(t)
	for i := range hosts {
		tb.addEntry(inventory.EntryID(fmt.Sprintf("entry-%d", i)), []inventory.DataCentreID{"Palermo", "Catania"}[i%2])
	}
	s := tb.addScriptedServer("server-0")
	s.setScript(s.echo)
	return tb, s
}

// keyedRequest returns a POST with the idempotency key.
func keyedRequest(key string) request {
	return request{method: post, key: key, path: "/services/Bells/announcements", body: "exam at nine"}
}

// TestRepeatedKey guards against a second execution when the key of an executed request is
// sent again. Only the entry host that served it can answer with the kept response.
func TestRepeatedKey(t *testing.T) {
	tests := []struct {
		name   string
		repeat func(tb *testbed) response
		want   string
		kept   bool
	}{
		{"through the same host", func(tb *testbed) response { return tb.entries[0].send(keyedRequest("k")) }, "Answered", true},
		{"through another host", func(tb *testbed) response { return tb.entries[1].send(keyedRequest("k")) }, "Unknown", false},
		{"through a host that started later", func(tb *testbed) response {
			return tb.addEntry("entry-9", "Palermo").send(keyedRequest("k"))
		}, "Unknown", false},
		{"through the host's replacement of the same name", func(tb *testbed) response {
			tb.entries[0].crash()
			return tb.addEntry("entry-0", "Palermo").send(keyedRequest("k"))
		}, "Unknown", false},
		{"after all hosts were replaced", func(tb *testbed) response {
			for _, e := range tb.entries {
				e.crash()
			}
			return tb.addEntry("entry-8", "Catania").send(keyedRequest("k"))
		}, "Unknown", false},
		{"with another body", func(tb *testbed) response {
			r := keyedRequest("k")
			r.body = "exam at ten"
			return tb.entries[0].send(r)
		}, "NotRun", false},
		{"by another tenant", func(tb *testbed) response {
			r := keyedRequest("k")
			r.tenant = "Editors"
			return tb.entries[0].send(r)
		}, "Answered", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tb, s := newKeyTestbed(t, 3)
			first := tb.entries[0].send(keyedRequest("k"))
			require.Equal(t, "Answered", first.outcome, "%+v", first)
			a := test.repeat(tb)
			require.Equal(t, test.want, a.outcome, "%+v", a)
			require.Equal(t, test.kept, a.kept)
			want := 1
			if test.name == "by another tenant" {
				want = 2
			}
			require.Equal(t, want, s.executionCount())
			if test.kept {
				require.Equal(t, first.body, a.body)
			}
		})
	}
}

// TestConcurrentRequestsWithOneKey sends each key through all hosts at once. Exactly one
// of the requests may be executed.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	tb, s := newKeyTestbed(t, 9)
	for round := range 20 {
		key := fmt.Sprintf("k-%d", round)
		var wg sync.WaitGroup
		responses := make([]response, 2*len(tb.entries))
		for i := range responses {
			wg.Go(func() { responses[i] = tb.entries[i%len(tb.entries)].send(keyedRequest(key)) })
		}
		wg.Wait()
		answered := 0
		for _, a := range responses {
			require.NotEqual(t, "NotRun", a.outcome, "%+v", a)
			if a.outcome == "Answered" && !a.kept {
				answered++
			}
		}
		require.Equal(t, 1, answered)
	}
	for k, n := range s.executions {
		require.Equal(t, 1, n, k)
	}
}

// TestKeyAfterRefusal checks that the key of a refused request is released, so that its
// repetition is executed on any host.
func TestKeyAfterRefusal(t *testing.T) {
	for _, host := range []int{0, 1} {
		tb, s := newKeyTestbed(t, 2)
		s.setScript(refuseUnexecuted)
		r := keyedRequest("k")
		r.deadline = 300 * time.Millisecond
		require.Equal(t, "NotRun", tb.entries[0].send(r).outcome)
		s.setScript(s.echo)
		// The key counts as used until its release has been read from the log.
		require.Eventually(t, func() bool { return tb.entries[host].send(keyedRequest("k")).outcome == "Answered" }, waitLimit, waitStep)
		require.Equal(t, 1, s.executionCount())
	}
}

// TestKeyWithoutTheLog makes the log unavailable. Requests with keys must be refused at
// once without being executed; all others must be answered.
func TestKeyWithoutTheLog(t *testing.T) {
	tests := []struct {
		name string
		fail func(tb *testbed)
	}{
		{"the platform is down", func(tb *testbed) { tb.platform.Faults.Set(fault.Fault{Kind: fault.Down, Count: fault.Forever}) }},
		{"the data centre is cut off from the platform", func(tb *testbed) {
			tb.net.Cut("Palermo", zonePlatform)
			tb.net.Cut(zonePlatform, "Palermo")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tb, s := newKeyTestbed(t, 2)
			require.Equal(t, "Answered", tb.entries[0].send(keyedRequest("before")).outcome)
			test.fail(tb)
			a := tb.entries[0].send(keyedRequest("during"))
			require.Equal(t, "NotRun", a.outcome)
			require.Equal(t, "KeyUnproven", a.reason)
			require.NotEmpty(t, a.retryIn)
			require.Equal(t, "Answered", tb.entries[0].send(request{method: post}).outcome)
			require.Equal(t, "Answered", tb.entries[0].send(request{method: get}).outcome)
			require.Zero(t, s.executions["during"])
		})
	}
}

// TestKeyWhenLogResponsesAreLost loses responses of the log after it has appended the
// claim of a key. The request may be executed or refused, but the outcome must be true.
func TestKeyWhenLogResponsesAreLost(t *testing.T) {
	tb, s := newKeyTestbed(t, 2)
	tb.platform.Faults.Set(fault.Fault{Kind: fault.AnswerLost, Count: 3})
	a := tb.entries[0].send(keyedRequest("k"))
	require.Equal(t, map[string]int{"Answered": 1, "NotRun": 0}[a.outcome], s.executionCount(), "%+v", a)
	require.Contains(t, []string{"Answered", "NotRun"}, a.outcome)
	for range 5 {
		for _, e := range tb.entries {
			e.send(keyedRequest("k"))
		}
	}
	require.LessOrEqual(t, s.executionCount(), 1)
}

// TestKeyDuringPartitionOfDataCentres sends one key to both sides of a partition. Only the side
// that reaches the platform may execute it.
func TestKeyDuringPartitionOfDataCentres(t *testing.T) {
	tb, s := newKeyTestbed(t, 2)
	o := tb.listen("Catania")
	other := &scriptedServer{address: o.Addr().String(), executions: make(map[string]int)}
	other.setScript(other.echo)
	go other.serve(o)
	tb.addServer("server-9", "Catania", other.address)
	for _, e := range tb.entries {
		require.Equal(t, "Answered", e.send(request{method: post}).outcome)
	}
	tb.net.Cut("Palermo", "Catania")
	tb.net.Cut("Catania", "Palermo")
	tb.net.Cut("Catania", zonePlatform)
	tb.net.Cut(zonePlatform, "Catania")
	require.Equal(t, "Answered", tb.entries[0].send(keyedRequest("k")).outcome)
	require.Equal(t, "NotRun", tb.entries[1].send(keyedRequest("k")).outcome)
	require.Equal(t, 1, s.executions["k"]+other.executions["k"])
	require.Equal(t, "Answered", tb.entries[1].send(request{method: get}).outcome, "the isolated side serves requests without keys")
}

// TestBadKeys checks that requests with malformed keys are rejected.
func TestBadKeys(t *testing.T) {
	tb, s := newKeyTestbed(t, 1)
	for _, key := range []string{"a b", "a\tb", "caff\xc3\xa8", string(make([]byte, 300))} {
		r := keyedRequest("x")
		r.header = map[string]string{"Idempotency-Key": key}
		a, err := tb.entries[0].trySend(r)
		if err == nil {
			require.Equal(t, 400, a.status, "%q", key)
		}
	}
	require.Zero(t, s.executionCount())
}
