package policy

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// fakeServer is a backend server with slots.
type fakeServer struct {
	id         inventory.InstanceID
	service    inventory.ServiceID
	dataCentre inventory.DataCentreID
	busy       int
	dead       bool
	leaving    bool
	// leavingSeen is when an entry host first saw a sign of leaving.
	leavingSeen time.Time
	// slow multiplies the time of each request from slowSince on.
	slow      time.Duration
	slowSince time.Time
	// lost counts down answers that are lost after the work was done.
	lost int
	// gone is when the server died or took no more work.
	gone time.Time
	// life grows with each death; work of an earlier life gets no answer.
	life int
}

func (w *world) addServer(v inventory.ServiceID, i int) {
	s := &fakeServer{id: inventory.InstanceID(fmt.Sprintf("%s-%02d", v, i)), service: v, dataCentre: dataCentre(i), slow: 1}
	w.servers[s.id] = s
	w.list = append(w.list, inventory.ListedHost{
		ID: inventory.HostID(s.id), Role: inventory.RoleBackend, State: inventory.HostLive,
		DataCentre: s.dataCentre, Service: v, Address: string(s.id),
	})
}

// setState changes what the platform's list says of a server.
func (w *world) setState(id inventory.InstanceID, state inventory.HostState) {
	for i := range w.list {
		if w.list[i].ID == inventory.HostID(id) {
			w.list[i].State = state
		}
	}
	w.publish()
}

func latency(a, b inventory.DataCentreID) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

// send carries a request to its server and the result back.
func (w *world) send(h *fakeHost, c *fakeCall, a dispatch.Action) {
	s := w.servers[a.Instance.ID]
	w.tally.sendings++
	if c.sendings == 0 {
		w.tally.firstSendings++
		c.firstSent = w.now
	}
	c.sendings++
	if !s.leavingSeen.IsZero() && w.now.Sub(s.leavingSeen) >= leavingGrace {
		w.tally.sentToLeaving++
	}
	if w.apart && h.dataCentre != s.dataCentre {
		w.after(connectTime, func() {
			h.HandleResult(c.ID, dispatch.AttemptResult{Result: retry.ResultNotSent}, w.now)
			w.act(h)
		})
		return
	}
	way := latency(h.dataCentre, s.dataCentre)
	back := func(r dispatch.AttemptResult) {
		wait := way
		if w.apart && h.dataCentre != s.dataCentre {
			r, wait = dispatch.AttemptResult{Result: retry.ResultNoAnswer}, max(a.Deadline.Sub(w.now), 0)
		}
		w.after(wait, func() {
			if r.LeavingSign != routing.NoLeavingSign && s.leavingSeen.IsZero() {
				s.leavingSeen = w.now
			}
			h.HandleResult(c.ID, r, w.now)
			w.act(h)
		})
	}
	w.after(way, func() { w.serve(s, c, back) })
}

func (w *world) serve(s *fakeServer, c *fakeCall, back func(dispatch.AttemptResult)) {
	switch {
	case s.dead:
		back(dispatch.AttemptResult{Result: retry.ResultNotSent})
		return
	case s.leaving:
		back(dispatch.AttemptResult{Result: retry.ResultRefused, LeavingSign: routing.LeavingSignRefusal})
		return
	case s.busy >= slotsEach:
		back(dispatch.AttemptResult{Result: retry.ResultRefused})
		return
	}
	s.busy++
	life := s.life
	c.executed++
	if c.executed > 1 && !c.Idempotent {
		w.tally.doubles++
	}
	began := w.now
	w.after(c.work*s.slow, func() {
		if s.life != life {
			back(dispatch.AttemptResult{Result: retry.ResultNoAnswer})
			return
		}
		s.busy--
		w.tally.work(w, s, c, began, w.now)
		if s.lost > 0 {
			s.lost--
			back(dispatch.AttemptResult{Result: retry.ResultNoAnswer})
			return
		}
		sign := routing.NoLeavingSign
		if s.leaving {
			sign = routing.LeavingSignHeader
		}
		back(dispatch.AttemptResult{Result: retry.ResultAnswered, LeavingSign: sign})
	})
}

func (s *fakeServer) die(now time.Time) {
	s.dead, s.busy, s.gone = true, 0, now
	s.life++
}

// slowFactor is how much slower than usual the slow server of a scene is.
const slowFactor = 10

// scene is what happens to the servers during a run.
type scene struct {
	name, suffix string
	play         func(w *world)
}

// scenes are the runs of each policy.
var scenes = []scene{
	{"bursts", "", func(*world) {}},
	{"bursts with faults", ".faults", playFaults},
	{"bursts with data centres apart", ".apart", playApart},
}

// connectTime is how long a host waits for a connection across a cut.
const connectTime = 300 * time.Millisecond

// playApart cuts all data centres off from each other for the second cycle.
// Each goes on with its own hosts and servers.
func playApart(w *world) {
	w.after(cycle, func() { w.apart = true })
}

// playFaults brings the failures of the brief into the second burst of each
// service: a server leaves, one dies, one becomes slow and one loses answers.
func playFaults(w *world) {
	for v := range servicesCount {
		id := func(i int) inventory.InstanceID {
			return inventory.InstanceID(fmt.Sprintf("%s-%02d", service(v), i))
		}
		burst := cycle - time.Duration(v)*cycle/servicesCount
		w.after(burst+500*time.Millisecond, func() {
			w.servers[id(0)].leaving, w.servers[id(0)].gone = true, w.now
			w.setState(id(0), inventory.HostLeaving)
		})
		w.after(burst+800*time.Millisecond, func() { w.servers[id(1)].die(w.now) })
		w.after(burst+time.Second, func() { w.servers[id(2)].slow, w.servers[id(2)].slowSince = slowFactor, w.now })
		w.after(burst+1200*time.Millisecond, func() { w.servers[id(3)].lost = 5 })
	}
}
