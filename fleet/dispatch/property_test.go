package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// model is entry hosts around their dispatchers, one log of claims, and callers
// that repeat keys wherever they like.
type model struct {
	t     *rapid.T
	now   time.Time
	hosts []*modelHost
	log   []journal.Record
	next  admission.RequestID
	// executions counts executions by key of requests that are not idempotent.
	executions map[string]int
}

// modelHost is an entry host with what is on its way.
type modelHost struct {
	core  *Dispatcher
	table *claim.Table
	// read is the number of records of the log that the host has folded.
	read   int
	calls  map[admission.RequestID]*modelCall
	claims []*modelCall
	sends  []*modelCall
}

// modelCall is a request with what happened to it.
type modelCall struct {
	Request
	key      string
	record   journal.RecordID
	executed int
	// answered is set when a server's whole answer came back.
	answered bool
	finished bool
	notRun   bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), executions: make(map[string]int)}
	for range 3 {
		m.hosts = append(m.hosts, m.newHost())
	}
	return m
}

func (m *model) newHost() *modelHost {
	h := &modelHost{table: claim.NewTable(), calls: make(map[admission.RequestID]*modelCall)}
	h.core = New(Config{Name: "e", DataCentre: "d", Order: admission.EarliestDeadlineFirst, Retries: retry.DefaultBudget, Random: rand.New(rand.NewPCG(1, 1))})
	h.core.Configure(configuration.Objects{
		Services: map[inventory.ServiceID]configuration.Service{"s": {Slots: 1, Connections: 2, Classes: map[inventory.ClassID]configuration.Class{"c": {Weight: 1}}}},
		Tenants:  map[inventory.TenantID]configuration.Tenant{"a": {MaxInFlight: 4, Weight: 1}, "b": {MaxInFlight: 4, Weight: 2}},
	}, m.now)
	l := inventory.HostList{At: m.now}
	for i := range 3 {
		l.Hosts = append(l.Hosts, inventory.ListedHost{ID: inventory.HostID(fmt.Sprint(i)), Role: inventory.RoleBackend, State: inventory.HostLive, Service: "s", DataCentre: "d"})
	}
	h.core.Hosts(l, m.now)
	return h
}

func (m *model) host() *modelHost {
	return rapid.SampledFrom(m.hosts).Draw(m.t, "host")
}

// act follows the actions of a host and checks each end.
func (m *model) act(h *modelHost) {
	for _, a := range append([]Action(nil), h.core.Actions()...) {
		c := h.calls[a.Request]
		require.False(m.t, c.finished, "nothing is done for a finished request")
		switch a.Kind {
		case ActionClaim:
			h.claims = append(h.claims, c)
		case ActionSend:
			require.True(m.t, c.Idempotent || !c.Keyed || c.record != "", "a key is claimed before a byte is sent")
			h.sends = append(h.sends, c)
		case ActionFinish:
			m.finish(h, c, a.End)
		}
	}
}

func (m *model) finish(h *modelHost, c *modelCall, e End) {
	c.finished = true
	delete(h.calls, c.ID)
	switch e.Outcome {
	case retry.Answered:
		require.True(m.t, c.answered, "an answer reaches only the request that it belongs to")
	case retry.NotRun:
		c.notRun = true
		require.Zero(m.t, c.executed, "a refusal is true")
		require.GreaterOrEqual(m.t, e.After, admission.MinReturn, "a refusal says when to come back")
	}
	if e.Release {
		m.append(claim.Group{Releases: []claim.Release{{Key: m.digest(c), Record: c.record}}})
	}
}

func (m *model) digest(c *modelCall) claim.Digest {
	d, err := claim.NewDigest(c.Tenant, c.Service, c.key)
	require.NoError(m.t, err)
	return d
}

func (m *model) append(g claim.Group) journal.RecordID {
	id := journal.RecordID(fmt.Sprint(len(m.log)))
	r, err := journal.NewRecord(id, claim.KindGroup, m.now, "e", g)
	require.NoError(m.t, err)
	m.log = append(m.log, r)
	return id
}

func (m *model) arrive(*rapid.T) {
	h := m.host()
	m.next++
	c := &modelCall{key: rapid.SampledFrom([]string{"k1", "k2"}).Draw(m.t, "key")}
	c.Request = Request{
		Request: admission.Request{
			ID: m.next, Tenant: rapid.SampledFrom([]inventory.TenantID{"a", "b"}).Draw(m.t, "tenant"), Class: "c", Arrived: m.now,
			Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "deadline")) * time.Millisecond),
		},
		Service: "s", Idempotent: rapid.Bool().Draw(m.t, "idempotent"), Keyed: true,
	}
	h.calls[c.ID] = c
	h.core.Arrive(c.Request, m.now)
	m.act(h)
}

// claim answers a claim: the host may have to read some of the log first, the
// append may be lost, or its answer may be.
func (m *model) claim(*rapid.T) {
	h := m.host()
	if len(h.claims) == 0 {
		return
	}
	c := h.claims[0]
	h.claims = h.claims[1:]
	answer := ClaimUnproven
	switch rapid.SampledFrom([]string{"works", "works", "append lost", "answer lost"}).Draw(m.t, "append") {
	case "works":
		c.record = m.append(claim.Group{Claims: []claim.Digest{m.digest(c)}})
		for ; h.read < len(m.log); h.read++ {
			require.NoError(m.t, h.table.Apply(m.log[h.read]))
		}
		answer = ClaimUsed
		if holder, _ := h.table.Holder(m.digest(c)); holder == c.record {
			answer = ClaimGranted
		}
	case "answer lost":
		m.append(claim.Group{Claims: []claim.Digest{m.digest(c)}})
	}
	h.core.Claimed(c.ID, answer, m.now)
	m.act(h)
}

// end ends a sending in any way in which one can end.
func (m *model) end(*rapid.T) {
	h := m.host()
	if len(h.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.sends)-1).Draw(m.t, "sending")
	c := h.sends[i]
	h.sends = append(h.sends[:i:i], h.sends[i+1:]...)
	r := rapid.SampledFrom([]retry.Result{retry.ResultAnswered, retry.ResultRefused, retry.ResultNotSent, retry.ResultNoAnswer}).Draw(m.t, "result")
	if r == retry.ResultAnswered || (r == retry.ResultNoAnswer && rapid.Bool().Draw(m.t, "executed")) {
		m.execute(c)
	}
	c.answered = r == retry.ResultAnswered
	sign := rapid.SampledFrom([]routing.Sign{routing.NoSign, routing.NoSign, routing.SignHeader, routing.SignRefusal}).Draw(m.t, "sign")
	h.core.Ended(c.ID, Result{Result: r, Sign: sign}, m.now)
	m.act(h)
}

func (m *model) execute(c *modelCall) {
	require.False(m.t, c.notRun, "nothing runs after it was said not to")
	c.executed++
	if !c.Idempotent {
		m.executions[string(c.Tenant)+c.key]++
	}
}

// replace kills a host. What it had sent may be executed or not.
func (m *model) replace(*rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "killed")
	for _, c := range m.hosts[i].sends {
		if rapid.Bool().Draw(m.t, "executed") {
			m.execute(c)
		}
	}
	m.hosts[i] = m.newHost()
}

func (m *model) wait(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "wait")) * time.Millisecond)
	for _, h := range m.hosts {
		h.core.Tick(m.now)
		m.act(h)
	}
}

// check looks at what must hold after every step.
func (m *model) check(*rapid.T) {
	for k, n := range m.executions {
		require.LessOrEqual(m.t, n, 1, "key %s was executed twice", k)
	}
	for _, h := range m.hosts {
		require.Equal(m.t, len(h.calls), h.core.Unfinished(), "every request is finished exactly once")
		waiting := 0
		for _, st := range h.core.States() {
			waiting += st.Waiting
			require.Equal(m.t, len(h.sends), int(st.InFlight), "slots are given back exactly once")
		}
		require.Equal(m.t, len(h.calls), waiting+len(h.sends)+len(h.claims))
	}
}

func TestPromisesHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive again": m.arrive, "claim": m.claim, "claim again": m.claim,
			"end": m.end, "end again": m.end, "replace": m.replace, "wait": m.wait, "": m.check,
		})
	})
}

// TestMain fixes the seed, so that each run gives the same verdict. A flag on
// the command line goes before it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
