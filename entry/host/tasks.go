package host

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/caller"
	"github.com/godwitcross/godwitcross/entry/claimer"
	"github.com/godwitcross/godwitcross/entry/duty"
	"github.com/godwitcross/godwitcross/entry/keeper"
	"github.com/godwitcross/godwitcross/entry/lifecycle"
	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/placement"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/entry/snapshot"
	"github.com/godwitcross/godwitcross/entry/usage"
	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/retry"
	"github.com/godwitcross/godwitcross/fleet/state"
)

// asTasks converts a component's tasks to a slice of Task.
func asTasks[T Task](part []T) []Task {
	tasks := make([]Task, len(part))
	for i, t := range part {
		tasks[i] = t
	}
	return tasks
}

// newRandom returns a random number generator whose seed differs between hosts and
// between starts.
func (h *Host) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(string(h.cfg.Settings.Name)), uint64(time.Now().UnixNano())))
}

func (h *Host) newAppender(client *platform.Client) *platform.Appender {
	return platform.NewAppender(platform.AppenderConfig{
		Log: h.log, Metrics: h.metrics, Target: client, Rules: state.BufferRules(), Rand: h.newRandom(),
	})
}

// newCallerService builds the server for callers and returns the tasks that it depends
// on.
func (h *Host) newCallerService(client *platform.Client) []Task {
	s := h.cfg.Settings
	dispatcher := caller.NewDispatcher(dispatch.New(dispatch.Config{
		Name: s.Name, DataCentre: s.DataCentre,
		Order: admission.EarliestDeadlineFirst, Retries: retry.DefaultBudget, Random: h.newRandom(),
	}), h.state, h.hosts, h.backends)
	claims := claimer.New(claimer.Config{Log: h.log, Name: s.Name, Records: client})
	h.callerService = caller.NewServer(caller.Config{
		Log: h.log, Metrics: h.metrics, State: h.state, Pool: h.backends,
		Dispatcher: dispatcher, Claims: claims, Stopping: h.readiness.IsStopping,
	})
	h.callerServer = h.callerService.HTTP()
	return []Task{dispatcher, claims}
}

func (h *Host) newPlacement(client *platform.Client, records *platform.Appender) *placement.Placement {
	s := h.cfg.Settings
	return placement.New(placement.Config{
		Log: h.log, Name: s.Name, DataCentre: s.DataCentre, Metrics: h.metrics,
		Records: records, Source: client, Workers: client, Fleet: h.state, Hosts: h.hosts, EntryHosts: h.dataCentreHosts,
	})
}

func (h *Host) newUsage(client *platform.Client, records *platform.Appender) *usage.Usage {
	s := h.cfg.Settings
	return usage.New(usage.Config{
		Log: h.log, Name: s.Name, DataCentre: s.DataCentre, Metrics: h.metrics,
		Records: records, Source: client, Workers: client, Fleet: h.state, EntryHosts: h.dataCentreHosts,
	})
}

func (h *Host) newOperatorServer(records *platform.Appender, routes []operator.Route) *fasthttp.Server {
	return operator.NewServer(operator.Config{
		Log: h.log, Name: h.cfg.Settings.Name, Metrics: h.metrics, State: h.state,
		Records: records, Ready: h.readiness.Reason, Routes: routes,
	}).HTTP()
}

// fleetTasks returns the tasks that follow the platform and the other entry hosts,
// and the runner of the global duties.
func (h *Host) fleetTasks(client *platform.Client, records *platform.Appender, batches chan platform.Batch) []Task {
	return []Task{
		platform.NewReader(h.log, client, journal.StreamFleet, 0, batches).RestoreWith(h.loader.Restore).Pace(readInterval),
		h.follower,
		h.exchanger,
		h.relay,
		snapshot.NewAlarm(snapshot.AlarmConfig{Log: h.log, Metrics: h.metrics, Stream: journal.StreamFleet, Status: h.streamStatus}),
		platform.NewHostListReader(h.log, client, h.hosts),
		lifecycle.NewStarter(h.log, h.readiness, h.state, h.hosts, h.peerLagReason),
		duty.NewRunner(duty.Config{
			Log: h.log, Name: h.cfg.Settings.Name, Stream: journal.StreamFleet, Records: records,
			Holdings: func() duty.Holdings { return h.state.Latest().Holdings },
			Hosts:    h.entryHosts,
			Work:     append([]duty.Work{h.snapshotWriter(records)}, h.fleetDuties(client, records)...),
		}),
	}
}

// fleetDuties returns the duties of the global stream other than the snapshot writer.
func (h *Host) fleetDuties(client *platform.Client, records *platform.Appender) []duty.Work {
	return []duty.Work{
		keeper.New(keeper.Config{
			Log: h.log, Name: h.cfg.Settings.Name, State: h.state.Latest, HostList: h.hosts.Latest,
			Records: records, Pools: client,
		}),
	}
}
