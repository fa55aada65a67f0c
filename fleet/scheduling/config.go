package scheduling

import "time"

// Config holds the scheduler's parameters. They come from the deployment's settings,
// except Epoch, Term, PreviousHeartbeatAge and Previous, which describe the leadership.
type Config struct {
	// Epoch fences the leader's appends and numbers its orders for hosts; it rises with each leader. It
	// is an offset in the log and has gaps.
	Epoch int64
	// Term counts the leaders from 0. Fencing tokens of orders to workers and run numbers of a term are above
	// those of all earlier terms. Run numbers start at Term times runsPerTerm, and stay small because the term,
	// unlike the epoch, has no gaps.
	Term int64
	// Lease is the lease of the runs on a worker, which holds and starts request. It must not
	// exceed what workers grant.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant, whatever deadline is requested. It is at least
	// Lease.
	MaxLease time.Duration
	// Grace is how long a leader goes on extending leases after its leadership was last
	// confirmed.
	Grace time.Duration
	// HostLease is how long the previous leader must have stopped ordering hosts before
	// this leader orders the hosts that the previous one reserved. Hosts are machines of
	// the pools here. It is unrelated to Lease.
	HostLease time.Duration
	// PreviousHeartbeatAge is how long before the claim the previous leader's last heartbeat
	// was read. It is negative if that leader has certainly ended and sends no more orders;
	// otherwise it doesn't tell until when the previous leader sent orders.
	PreviousHeartbeatAge time.Duration
	// Previous is what is known about the leases that earlier leaders extended.
	Previous PreviousLeader
	// StopTime is how long a run goes on at most after it was told to stop.
	StopTime time.Duration
	// MoveTime and MaintenanceTime are how long a host is out of service for a move or for
	// maintenance.
	MoveTime, MaintenanceTime time.Duration
	// HostOrdersPerSecond is the platform's limit of the orders for hosts within a second: moves and
	// maintenance of the machines of pools. 0 means no limit.
	HostOrdersPerSecond float64
	// Retention is how long the state of an ended job can be looked up.
	Retention time.Duration
	// RecordBytes is the store's limit of a record; 0 stands for the platform's default.
	RecordBytes int
	// ShareWindow is the time over which the rate of a workspace's jobs is compared with its weight;
	// 0 stands for a default.
	ShareWindow time.Duration
	// UnderPressure is set if the deployment's callers may compete for too little room, so that waiting
	// work is ordered by what its delay costs callers. Workspaces in the configuration have the same effect.
	UnderPressure bool
}

// MaxOrderAge is how old the decision behind a start or an order for a host may be when it is sent:
// the process may have been paused meanwhile. It is well below the second within which ended runs,
// cancellations and departing workers must take effect.
const MaxOrderAge = 400 * time.Millisecond

// Constants of the scheduler that no setting changes.
const (
	// runsPerTerm is the distance between the run numbers of two terms. No task starts
	// that often in one term.
	runsPerTerm = 1000
	// registrationsPerEpoch is the distance between the numbers of two epochs' records of
	// workers.
	registrationsPerEpoch = 1_000_000
	// clockDrift bounds how much slower a worker's clock may run than the leader's: 2%,
	// plus 1% for rounding.
	clockDrift = 1.03
	// leaseMargin is added to each lease before it counts as lapsed. It covers the
	// transfer of an order and the worker's own timer.
	leaseMargin = 250 * time.Millisecond
	// holdWait is how long a worker may delay its answer to a hold until a run ends. It
	// is a third of the usual lease, so that a lease survives two lost holds.
	holdWait = 1000 * time.Millisecond
	// holdGap is the delay between an answer and the next hold, so that one answer
	// reports ends that occur close together.
	holdGap = 8 * time.Millisecond
	// storeWait is how long the next hold is delayed at most while reported ends are
	// being stored.
	storeWait = 100 * time.Millisecond
	// maxHostProofAge is the maximum age of the last confirmation of leadership for an
	// order for a host: two heartbeats. Such an order has no lease that would expire.
	maxHostProofAge = time.Second
	// maxViewLag is how far the leader's view of accepted jobs, workers and publications may
	// lag behind the confirmation of its leadership while it starts tasks and orders hosts. Cancellations and
	// draining workers must take effect within 2 to 4 s.
	maxViewLag = 1500 * time.Millisecond
	// maxClockAge is how old the last reading of an idle worker's clock gets. By then the clock may be
	// 0.9 s behind.
	maxClockAge = 30 * time.Second
	// retryGap is the delay before an unanswered order is sent again.
	retryGap = 200 * time.Millisecond
	// unhealthyPause is how long a worker gets no tasks after it answered that it is
	// unhealthy or was quarantined, and how long a task waits after a worker refused it.
	unhealthyPause = 2 * time.Second
	// speculativePause is how long a new leader waits for workers to report a speculative
	// task before it starts the task again.
	speculativePause = 600 * time.Millisecond
	// extendWhileUnreachable is how long the lease of a worker that doesn't answer is
	// still extended: for two more attempts, as single answers get lost.
	extendWhileUnreachable = 500 * time.Millisecond
	// drainMargin is how long before a draining worker leaves its long-running tasks are
	// stopped even beyond their step's disruption budget: they would end anyway. It covers the
	// move of a host to the pool (1.5 s), the stop (0.9 s) and the age of the entry from which a
	// new leader learns when the worker leaves (1.5 s).
	drainMargin = 4 * time.Second
	// maxOrderDelay is how long after its sending an unanswered order may still be carried
	// out: some seconds according to the platform, 2 to 12 s according to its users.
	maxOrderDelay = 13 * time.Second
	// orphanStopGap is the delay before an orphaned run is told to stop again.
	orphanStopGap = 500 * time.Millisecond
	// placementInterval is the interval between placement rounds without an event: some
	// tasks only wait for time to pass.
	placementInterval = 100 * time.Millisecond
	// workerTickInterval is the minimum interval between two passes over all workers, whose
	// cost grows with the number of runs.
	workerTickInterval = 4 * time.Millisecond
	// placementGapPerStep times the number of steps with waiting tasks, at most
	// maxPlacementGap, is the minimum interval between two placement rounds. The cost of a
	// round grows with that number, and a leader busy with rounds alone would answer no
	// calls.
	placementGapPerStep = 25 * time.Microsecond
	maxPlacementGap     = 30 * time.Millisecond
	// placementRest times the duration of a placement round, at most maxPlacementRest, is the
	// pause after it. A leader has one processor: rounds without a pause delay its reads of
	// the streams and the reports of workers.
	placementRest    = 2
	maxPlacementRest = 500 * time.Millisecond
	// maxKeptFailures bounds the failed runs that are recorded for a long-running task,
	// which may fail any number of times.
	maxKeptFailures = 8
	// fullPause is how long a worker gets no other run after it rejected one for lack of
	// capacity.
	fullPause = 150 * time.Millisecond
)
