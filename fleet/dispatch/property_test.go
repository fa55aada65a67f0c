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

// model simulates several entry hosts, each with a dispatcher, one log of claims, and
// callers that repeat keys at any host.
type model struct {
	t      *rapid.T
	now    time.Time
	hosts  []*modelHost
	log    []journal.Record
	lastID admission.RequestID
	// executions counts the executions of requests that are not idempotent, by tenant
	// and key.
	executions map[string]int
}

// modelHost is an entry host with its outstanding claims and attempts.
type modelHost struct {
	dispatcher *Dispatcher
	table      *claim.Table
	// applied is the number of log records that the host has applied.
	applied int
	calls   map[admission.RequestID]*modelCall
	claims  []*modelCall
	sends   []*modelCall
}

// modelCall is a request with its observed progress.
type modelCall struct {
	Request
	key      string
	record   journal.RecordID
	executed int
	// answered is set when a complete response came back.
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
	h.dispatcher = New(Config{Name: "e", DataCentre: "d", Order: admission.EarliestDeadlineFirst, Retries: retry.DefaultBudget, Random: rand.New(rand.NewPCG(1, 1))})
	h.dispatcher.Configure(configuration.Objects{
		Services: map[inventory.ServiceID]configuration.Service{"s": {Slots: 1, Connections: 2, Classes: map[inventory.ClassID]configuration.Class{"c": {Weight: 1}}}},
		Tenants:  map[inventory.TenantID]configuration.Tenant{"a": {MaxInFlight: 4, Weight: 1}, "b": {MaxInFlight: 4, Weight: 2}},
	}, m.now)
	l := inventory.HostList{At: m.now}
	for i := range 3 {
		l.Hosts = append(l.Hosts, inventory.ListedHost{ID: inventory.HostID(fmt.Sprint(i)), Role: inventory.RoleBackend, State: inventory.HostLive, Service: "s", DataCentre: "d"})
	}
	h.dispatcher.SetHosts(l, m.now)
	return h
}

func (m *model) drawHost() *modelHost {
	return rapid.SampledFrom(m.hosts).Draw(m.t, "host")
}

// performActions carries out the pending actions of a host and checks every result.
func (m *model) performActions(h *modelHost) {
	for _, a := range append([]Action(nil), h.dispatcher.TakeActions()...) {
		c := h.calls[a.Request]
		require.False(m.t, c.finished, "a finished request has no more actions")
		switch a.Kind {
		case ActionClaim:
			h.claims = append(h.claims, c)
		case ActionSend:
			require.True(m.t, c.Idempotent || !c.Keyed || c.record != "", "a key is claimed before a byte is sent")
			h.sends = append(h.sends, c)
		case ActionFinish:
			m.finishRequest(h, c, a.End)
		}
	}
}

func (m *model) finishRequest(h *modelHost, c *modelCall, e Completion) {
	c.finished = true
	delete(h.calls, c.ID)
	switch e.Outcome {
	case retry.Answered:
		require.True(m.t, c.answered, "an answered request had a response")
	case retry.NotRun:
		c.notRun = true
		require.Zero(m.t, c.executed, "a request reported as not run was not executed")
		require.GreaterOrEqual(m.t, e.RetryAfter, admission.MinRetryAfter, "a refusal has a retry delay")
	}
	if e.ReleaseClaim {
		m.appendRecord(claim.Group{Releases: []claim.Release{{Key: m.digest(c), Record: c.record}}})
	}
}

func (m *model) digest(c *modelCall) claim.Digest {
	d, err := claim.NewDigest(c.Tenant, c.Service, c.key)
	require.NoError(m.t, err)
	return d
}

func (m *model) appendRecord(g claim.Group) journal.RecordID {
	id := journal.RecordID(fmt.Sprint(len(m.log)))
	r, err := journal.NewRecord(id, claim.KindGroup, m.now, "e", g)
	require.NoError(m.t, err)
	m.log = append(m.log, r)
	return id
}

func (m *model) arrive(*rapid.T) {
	h := m.drawHost()
	m.lastID++
	c := &modelCall{key: rapid.SampledFrom([]string{"k1", "k2"}).Draw(m.t, "key")}
	c.Request = Request{
		Request: admission.Request{
			ID: m.lastID, Tenant: rapid.SampledFrom([]inventory.TenantID{"a", "b"}).Draw(m.t, "tenant"), Class: "c", Arrived: m.now,
			Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "deadline")) * time.Millisecond),
		},
		Service: "s", Idempotent: rapid.Bool().Draw(m.t, "idempotent"), Keyed: true,
	}
	h.calls[c.ID] = c
	h.dispatcher.Submit(c.Request, m.now)
	m.performActions(h)
}

// claim answers the oldest outstanding claim of a host. The append works, and the host
// first applies the records before it; or the append is lost; or its answer is lost.
func (m *model) claim(*rapid.T) {
	h := m.drawHost()
	if len(h.claims) == 0 {
		return
	}
	c := h.claims[0]
	h.claims = h.claims[1:]
	answer := ClaimUnproven
	switch rapid.SampledFrom([]string{"works", "works", "append lost", "answer lost"}).Draw(m.t, "append") {
	case "works":
		c.record = m.appendRecord(claim.Group{Claims: []claim.Digest{m.digest(c)}})
		for ; h.applied < len(m.log); h.applied++ {
			require.NoError(m.t, h.table.Apply(m.log[h.applied]))
		}
		answer = ClaimUsed
		if holder, _ := h.table.Holder(m.digest(c)); holder == c.record {
			answer = ClaimGranted
		}
	case "answer lost":
		m.appendRecord(claim.Group{Claims: []claim.Digest{m.digest(c)}})
	}
	h.dispatcher.HandleClaim(c.ID, answer, m.now)
	m.performActions(h)
}

// endAttempt ends an attempt with any possible result.
func (m *model) endAttempt(*rapid.T) {
	h := m.drawHost()
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
	sign := rapid.SampledFrom([]routing.LeavingSign{routing.NoLeavingSign, routing.NoLeavingSign, routing.LeavingSignHeader, routing.LeavingSignRefusal}).Draw(m.t, "sign")
	h.dispatcher.HandleResult(c.ID, AttemptResult{Result: r, LeavingSign: sign}, m.now)
	m.performActions(h)
}

func (m *model) execute(c *modelCall) {
	require.False(m.t, c.notRun, "a request is not executed after it was reported as not run")
	c.executed++
	if !c.Idempotent {
		m.executions[string(c.Tenant)+c.key]++
	}
}

// replaceHost kills a host and starts a new one. Requests that the host had sent may or
// may not be executed.
func (m *model) replaceHost(*rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "killed")
	for _, c := range m.hosts[i].sends {
		if rapid.Bool().Draw(m.t, "executed") {
			m.execute(c)
		}
	}
	m.hosts[i] = m.newHost()
}

func (m *model) advance(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "wait")) * time.Millisecond)
	for _, h := range m.hosts {
		h.dispatcher.Tick(m.now)
		m.performActions(h)
	}
}

// checkInvariants checks what must hold after every step.
func (m *model) checkInvariants(*rapid.T) {
	for k, n := range m.executions {
		require.LessOrEqual(m.t, n, 1, "key %s was executed twice", k)
	}
	for _, h := range m.hosts {
		require.Equal(m.t, len(h.calls), h.dispatcher.Unfinished(), "every request is finished exactly once")
		waiting := 0
		for _, st := range h.dispatcher.States() {
			waiting += st.Waiting
			require.Equal(m.t, len(h.sends), int(st.InFlight), "slots are released exactly once")
		}
		require.Equal(m.t, len(h.calls), waiting+len(h.sends)+len(h.claims))
	}
}

func TestInvariantsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive again": m.arrive, "claim": m.claim, "claim again": m.claim,
			"end": m.endAttempt, "end again": m.endAttempt, "replace": m.replaceHost, "wait": m.advance, "": m.checkInvariants,
		})
	})
}

// TestMain fixes the seed, so that every run gives the same result. A seed given on the
// command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
