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

// newKeyWorld returns a world of entry hosts in two data centres with a server
// that answers, in the state that the test needs.
func newKeyWorld(t *testing.T, hosts int) (*world, *server) {
	w := newWorld(t)
	for i := range hosts {
		w.addEntry(inventory.EntryID(fmt.Sprintf("entry-%d", i)), []inventory.DataCentreID{"Palermo", "Catania"}[i%2])
	}
	s := w.addScript("server-0")
	s.setScript(s.ok)
	return w, s
}

func announce(key string) request {
	return request{method: post, key: key, path: "/services/Bells/announcements", body: "exam at nine"}
}

// TestRepeatedKey repeats the key of an executed request in many ways.
func TestRepeatedKey(t *testing.T) {
	tests := []struct {
		name   string
		repeat func(w *world) answer
		want   string
		kept   bool
	}{
		{"through the same host", func(w *world) answer { return w.entries[0].send(announce("k")) }, "Answered", true},
		{"through another host", func(w *world) answer { return w.entries[1].send(announce("k")) }, "Unknown", false},
		{"through a host that came later", func(w *world) answer {
			return w.addEntry("entry-9", "Palermo").send(announce("k"))
		}, "Unknown", false},
		{"through the host's replacement of the same name", func(w *world) answer {
			w.entries[0].kill()
			return w.addEntry("entry-0", "Palermo").send(announce("k"))
		}, "Unknown", false},
		{"after all hosts were replaced", func(w *world) answer {
			for _, e := range w.entries {
				e.kill()
			}
			return w.addEntry("entry-8", "Catania").send(announce("k"))
		}, "Unknown", false},
		{"with another body", func(w *world) answer {
			r := announce("k")
			r.body = "exam at ten"
			return w.entries[0].send(r)
		}, "NotRun", false},
		{"by another tenant", func(w *world) answer {
			r := announce("k")
			r.tenant = "Editors"
			return w.entries[0].send(r)
		}, "Answered", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w, s := newKeyWorld(t, 3)
			first := w.entries[0].send(announce("k"))
			require.Equal(t, "Answered", first.outcome, "%+v", first)
			a := test.repeat(w)
			require.Equal(t, test.want, a.outcome, "%+v", a)
			require.Equal(t, test.kept, a.kept)
			want := 1
			if test.name == "by another tenant" {
				want = 2
			}
			require.Equal(t, want, s.runs())
			if test.kept {
				require.Equal(t, first.body, a.body)
			}
		})
	}
}

// TestRaceForAKey sends one key through all hosts at once.
func TestRaceForAKey(t *testing.T) {
	w, s := newKeyWorld(t, 9)
	for round := range 20 {
		key := fmt.Sprintf("k-%d", round)
		var wg sync.WaitGroup
		answers := make([]answer, 2*len(w.entries))
		for i := range answers {
			wg.Go(func() { answers[i] = w.entries[i%len(w.entries)].send(announce(key)) })
		}
		wg.Wait()
		answered := 0
		for _, a := range answers {
			require.NotEqual(t, "NotRun", a.outcome, "%+v", a)
			if a.outcome == "Answered" && !a.kept {
				answered++
			}
		}
		require.Equal(t, 1, answered)
	}
	for k, n := range s.ran {
		require.Equal(t, 1, n, k)
	}
}

// TestKeyAfterARefusal gives the key of a refused request back, so that its
// repeat is executed, through whichever host it comes.
func TestKeyAfterARefusal(t *testing.T) {
	for _, host := range []int{0, 1} {
		w, s := newKeyWorld(t, 2)
		s.setScript(refuse)
		r := announce("k")
		r.deadline = 300 * time.Millisecond
		require.Equal(t, "NotRun", w.entries[0].send(r).outcome)
		s.setScript(s.ok)
		// The release is on its way through the log; until it is there the key
		// counts as used.
		require.Eventually(t, func() bool { return w.entries[host].send(announce("k")).outcome == "Answered" }, waitLimit, waitStep)
		require.Equal(t, 1, s.runs())
	}
}

// TestKeyWithoutTheLog cuts the platform or a data centre off. Requests with
// keys are refused at once and truly; all others go on.
func TestKeyWithoutTheLog(t *testing.T) {
	tests := []struct {
		name string
		fail func(w *world)
	}{
		{"the platform is down", func(w *world) { w.platform.Faults.Set(fault.Fault{Kind: fault.Down, Count: fault.Forever}) }},
		{"the data centre is cut off from the platform", func(w *world) {
			w.net.Cut("Palermo", zonePlatform)
			w.net.Cut(zonePlatform, "Palermo")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w, s := newKeyWorld(t, 2)
			require.Equal(t, "Answered", w.entries[0].send(announce("before")).outcome)
			test.fail(w)
			a := w.entries[0].send(announce("during"))
			require.Equal(t, "NotRun", a.outcome)
			require.Equal(t, "KeyUnproven", a.reason)
			require.NotEmpty(t, a.retryIn)
			require.Equal(t, "Answered", w.entries[0].send(request{method: post}).outcome)
			require.Equal(t, "Answered", w.entries[0].send(request{method: get}).outcome)
			require.Zero(t, s.ran["during"])
		})
	}
}

// TestKeyWhenAnswersOfTheLogAreLost accepts either decision, if it is true.
func TestKeyWhenAnswersOfTheLogAreLost(t *testing.T) {
	w, s := newKeyWorld(t, 2)
	w.platform.Faults.Set(fault.Fault{Kind: fault.AnswerLost, Count: 3})
	a := w.entries[0].send(announce("k"))
	require.Equal(t, map[string]int{"Answered": 1, "NotRun": 0}[a.outcome], s.runs(), "%+v", a)
	require.Contains(t, []string{"Answered", "NotRun"}, a.outcome)
	for range 5 {
		for _, e := range w.entries {
			e.send(announce("k"))
		}
	}
	require.LessOrEqual(t, s.runs(), 1)
}

// TestDataCentresApart repeats a key on both sides of a cut between data
// centres. The side that reaches the platform may execute it; nobody else.
func TestDataCentresApart(t *testing.T) {
	w, s := newKeyWorld(t, 2)
	o := w.listen("Catania")
	other := &server{address: o.Addr().String(), ran: make(map[string]int)}
	other.setScript(other.ok)
	go other.serve(o)
	w.addServer("server-9", "Catania", other.address)
	for _, e := range w.entries {
		require.Equal(t, "Answered", e.send(request{method: post}).outcome)
	}
	w.net.Cut("Palermo", "Catania")
	w.net.Cut("Catania", "Palermo")
	w.net.Cut("Catania", zonePlatform)
	w.net.Cut(zonePlatform, "Catania")
	require.Equal(t, "Answered", w.entries[0].send(announce("k")).outcome)
	require.Equal(t, "NotRun", w.entries[1].send(announce("k")).outcome)
	require.Equal(t, 1, s.ran["k"]+other.ran["k"])
	require.Equal(t, "Answered", w.entries[1].send(request{method: get}).outcome, "the cut-off side serves what it can")
}

func TestBadKeys(t *testing.T) {
	w, s := newKeyWorld(t, 1)
	for _, key := range []string{"a b", "a\tb", "caff\xc3\xa8", string(make([]byte, 300))} {
		r := announce("x")
		r.header = map[string]string{"Idempotency-Key": key}
		a, err := w.entries[0].trySend(r)
		if err == nil {
			require.Equal(t, 400, a.status, "%q", key)
		}
	}
	require.Zero(t, s.runs())
}
