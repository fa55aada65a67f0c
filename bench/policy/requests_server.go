package policy

import (
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/routing"
)

// fakeServer is a simulated backend server with a limited number of slots.
type fakeServer struct {
	id         inventory.InstanceID
	service    inventory.ServiceID
	dataCentre inventory.DataCentreID
	busySlots  int
	crashed    bool
	leaving    bool
	// leavingSeenAt is when an entry host first received a sign that the server is
	// leaving.
	leavingSeenAt time.Time
	// slowdown multiplies the service time of each request; it changes at slowSince.
	slowdown  time.Duration
	slowSince time.Time
	// answersToDrop is the number of answers still to be dropped after the work is
	// done.
	answersToDrop int
	// unavailableSince is when the server crashed or began to refuse work.
	unavailableSince time.Time
	// generation counts crashes; work of an earlier generation is not answered.
	generation int
}

func (sim *requestSimulation) addServer(v inventory.ServiceID, i int) {
	s := &fakeServer{id: inventory.InstanceID(fmt.Sprintf("%s-%02d", v, i)), service: v, dataCentre: dataCentre(i), slowdown: 1}
	sim.servers[s.id] = s
	sim.hostList = append(sim.hostList, inventory.ListedHost{
		ID: inventory.HostID(s.id), Role: inventory.RoleBackend, State: inventory.HostLive,
		DataCentre: s.dataCentre, Service: v, Address: string(s.id),
	})
}

// setState changes a server's state in the platform's host list.
func (sim *requestSimulation) setState(id inventory.InstanceID, state inventory.HostState) {
	for i := range sim.hostList {
		if sim.hostList[i].ID == inventory.HostID(id) {
			sim.hostList[i].State = state
		}
	}
	sim.publish()
}

func latency(a, b inventory.DataCentreID) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

// send delivers a request to its server and the result back to the host.
func (sim *requestSimulation) send(h *fakeHost, c *fakeCall, a dispatch.Action) {
	s := sim.servers[a.Instance.ID]
	sim.stats.attempts++
	if c.attempts == 0 {
		sim.stats.firstAttempts++
		c.firstSent = sim.now
	}
	c.attempts++
	if !s.leavingSeenAt.IsZero() && sim.now.Sub(s.leavingSeenAt) >= leavingGrace {
		sim.stats.sentToLeaving++
	}
	if sim.partitioned && h.dataCentre != s.dataCentre {
		sim.after(connectTimeout, func() {
			h.HandleResult(c.ID, dispatch.AttemptResult{Result: retry.ResultNotSent}, sim.now)
			sim.perform(h)
		})
		return
	}
	delay := latency(h.dataCentre, s.dataCentre)
	respond := func(r dispatch.AttemptResult) {
		wait := delay
		if sim.partitioned && h.dataCentre != s.dataCentre {
			r, wait = dispatch.AttemptResult{Result: retry.ResultNoAnswer}, max(a.Deadline.Sub(sim.now), 0)
		}
		sim.after(wait, func() {
			if r.LeavingSign != routing.NoLeavingSign && s.leavingSeenAt.IsZero() {
				s.leavingSeenAt = sim.now
			}
			h.HandleResult(c.ID, r, sim.now)
			sim.perform(h)
		})
	}
	sim.after(delay, func() { sim.serve(s, c, respond) })
}

func (sim *requestSimulation) serve(s *fakeServer, c *fakeCall, respond func(dispatch.AttemptResult)) {
	switch {
	case s.crashed:
		respond(dispatch.AttemptResult{Result: retry.ResultNotSent})
		return
	case s.leaving:
		respond(dispatch.AttemptResult{Result: retry.ResultRefused, LeavingSign: routing.LeavingSignRefusal})
		return
	case s.busySlots >= slotsPerServer:
		respond(dispatch.AttemptResult{Result: retry.ResultRefused})
		return
	}
	s.busySlots++
	generation := s.generation
	c.executions++
	if c.executions > 1 && !c.Idempotent {
		sim.stats.duplicates++
	}
	began := sim.now
	sim.after(c.work*s.slowdown, func() {
		if s.generation != generation {
			respond(dispatch.AttemptResult{Result: retry.ResultNoAnswer})
			return
		}
		s.busySlots--
		sim.stats.addWork(sim, s, c, began, sim.now)
		if s.answersToDrop > 0 {
			s.answersToDrop--
			respond(dispatch.AttemptResult{Result: retry.ResultNoAnswer})
			return
		}
		sign := routing.NoLeavingSign
		if s.leaving {
			sign = routing.LeavingSignHeader
		}
		respond(dispatch.AttemptResult{Result: retry.ResultAnswered, LeavingSign: sign})
	})
}

func (s *fakeServer) crash(now time.Time) {
	s.crashed, s.busySlots, s.unavailableSince = true, 0, now
	s.generation++
}

// slowFactor is the slowdown of the slow server of a scenario.
const slowFactor = 10

// scenario defines the faults during a run.
type scenario struct {
	name, figureSuffix string
	injectFaults       func(sim *requestSimulation)
}

// scenarios are the runs of each policy.
var scenarios = []scenario{
	{"bursts", "", func(*requestSimulation) {}},
	{"bursts with faults", ".faults", injectServerFaults},
	{"bursts with partitioned data centres", ".apart", injectPartition},
}

// connectTimeout is the time after which a connection across a partition fails.
const connectTimeout = 300 * time.Millisecond

// injectPartition isolates all data centres from each other during the second cycle.
// Each continues with its own hosts and servers.
func injectPartition(sim *requestSimulation) {
	sim.after(cycle, func() { sim.partitioned = true })
}

// injectServerFaults injects the required faults during the second burst of each
// service: one server leaves, one crashes, one becomes slow and one drops answers.
func injectServerFaults(sim *requestSimulation) {
	for v := range serviceCount {
		id := func(i int) inventory.InstanceID {
			return inventory.InstanceID(fmt.Sprintf("%s-%02d", service(v), i))
		}
		burst := cycle - time.Duration(v)*cycle/serviceCount
		sim.after(burst+500*time.Millisecond, func() {
			sim.servers[id(0)].leaving, sim.servers[id(0)].unavailableSince = true, sim.now
			sim.setState(id(0), inventory.HostLeaving)
		})
		sim.after(burst+800*time.Millisecond, func() { sim.servers[id(1)].crash(sim.now) })
		sim.after(burst+time.Second, func() { sim.servers[id(2)].slowdown, sim.servers[id(2)].slowSince = slowFactor, sim.now })
		sim.after(burst+1200*time.Millisecond, func() { sim.servers[id(3)].answersToDrop = 5 })
	}
}
