package scheduling

import "time"

// Config are the scheduler's bounds. All come from the deployment's settings but
// for those that say otherwise.
type Config struct {
	// Epoch is the owner's fencing token towards workers; it rises with each owner.
	Epoch int64
	// Term numbers the owners from 0; run numbers of a term lie above all earlier ones.
	Term int64
	// Lease is the lease that a hold asks for; at most what workers grant.
	Lease time.Duration
	// Grace is how long after the last proof of its ownership an owner extends leases.
	Grace time.Duration
	// HostLease is how long another owner's orders for hosts must have ended before
	// this one gives its own.
	HostLease time.Duration
	// PreviousLeaderSilence is how long the owner before had given no sign at the takeover. It
	// is negative where that owner has ended for certain and orders nothing any more.
	PreviousLeaderSilence time.Duration
	// StopTime is how long a run that was told to stop goes on at most.
	StopTime time.Duration
	// MoveTime and MaintenanceTime are how long a host is away.
	MoveTime, MaintenanceTime time.Duration
	// HostOrdersPerSecond bounds orders for hosts.
	HostOrdersPerSecond float64
	// Retention is how long the state of an ended job is told.
	Retention time.Duration
}

// Constants of the scheduler that no setting changes.
const (
	// runsPerTerm separates the run numbers of two owners; no task starts so often
	// in one term.
	runsPerTerm = 1000
	// clockDrift bounds how much slower a worker's clock may run than ours: 2%, and
	// half as much again for rounding.
	clockDrift = 1.03
	// leaseMargin is added to each lease before it is taken as lapsed: the transfer
	// of an order and the worker's own timer.
	leaseMargin = 250 * time.Millisecond
	// holdWait is how long a worker may keep a hold open for an end. A third of the
	// usual lease, so that two lost holds do no harm.
	holdWait = 1000 * time.Millisecond
	// holdGap is the pause between an answer and the next hold, which lets ends that
	// come close together share one answer.
	holdGap = 8 * time.Millisecond
	// storeWait is how long the next hold waits for ends to be stored, unless they are
	// before.
	storeWait = 100 * time.Millisecond
	// maxHostProofAge is how old the last proof of ownership may be for an order for a host:
	// two signs of life. Such orders have no lease that ends by itself.
	maxHostProofAge = time.Second
	// retryGap is the pause before an order without an answer is sent again.
	retryGap = 200 * time.Millisecond
	// unhealthyPause is how long a worker that refused or failed everything rests.
	unhealthyPause = 2 * time.Second
	// speculativePause is how long a new owner waits for workers to report a task that
	// may run twice before it starts it once more.
	speculativePause = 600 * time.Millisecond
	// extendWhileUnreachable is for how long a worker that doesn't answer still gets longer
	// leases: two more tries, as single answers get lost.
	extendWhileUnreachable = 500 * time.Millisecond
	// drainMargin is how long before a draining worker leaves its tasks that last are
	// stopped whatever their step's budget says: they end there anyway.
	drainMargin = 2 * time.Second
	// lateOrders is how long an order without an answer may still be carried out: the
	// platform speaks of seconds, its users of 2 to 12.
	lateOrders = 13 * time.Second
	// orphanStopGap is the pause before a run that isn't wanted is told to stop again.
	orphanStopGap = 500 * time.Millisecond
	// placeEvery is how often waiting tasks are looked at without an event: some wait for
	// a time only.
	placeEvery = 100 * time.Millisecond
	// workersInterval separates two looks at all workers, which cost time for each run.
	workersInterval = 4 * time.Millisecond
	// gapPerStep times the steps that wait separates two rounds of placement, at most
	// maxPlaceGap: a round costs time for each of them, and an owner that spends all its
	// time on rounds answers nobody.
	gapPerStep  = 25 * time.Microsecond
	maxPlaceGap = 30 * time.Millisecond
	// maxKeptFailures bounds the failed runs that are kept of a task that lasts, whose
	// number has no limit.
	maxKeptFailures = 8
	// fullPause is how long a worker that rejected a run for room gets no other.
	fullPause = 150 * time.Millisecond
)
