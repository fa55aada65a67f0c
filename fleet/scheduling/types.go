// Package scheduling decides where and when the tasks of accepted jobs run, which
// hosts serve which pool, and when hosts are maintained. One entry host at a time, the
// leader, runs a Scheduler. It is a state machine without sockets, timers or clocks:
// it takes events with the current time and returns actions. It belongs to the program
// godwitcross; the program entry uses fleet/placement instead.
package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// WorkerID names a worker. A worker may start again under the same ID.
type WorkerID string

// HostID names a host of a pool. Each worker on a host is an incarnation of its own.
type HostID string

// Incarnation identifies one incarnation of a worker.
type Incarnation struct {
	ID WorkerID
	// StartedAt is the start time of the incarnation in Unix milliseconds, 0 if unknown.
	// Stored registrations and log fields call it Born, and keep that name.
	StartedAt int64 `json:"Born"`
}

// Entry is a worker's entry in the registry.
type Entry struct {
	Incarnation
	Pool       string
	Address    string
	DataCentre string
	Host       HostID
	// Kind and Rack are the two labels that each worker has.
	Kind, Rack string
	Labels     []string
	Capacity   job.Resources
	// Draining workers accept no new tasks and are about to leave.
	Draining bool
	// LeavesIn is the minimum time until a draining worker leaves.
	LeavesIn time.Duration `json:"Leaving"`
	// Registration numbers the stored records of workers. It rises with each record of a worker,
	// and is 0 in entries of the registry and in records of earlier versions.
	Registration int64 `json:",omitempty"`
	// Restarted is set in stored records if the worker had an earlier incarnation under its ID, whose
	// orders may have reached it.
	Restarted bool `json:",omitempty"`
	// LatestStart is the highest start time, in Unix milliseconds, of the earlier workers that are known under its ID
	// or on its host, 0 if none is above StartedAt. It is 0 in entries of the registry.
	LatestStart int64 `json:"LatestBorn,omitempty"`
}

// RunRow is one run in a worker's report.
type RunRow struct {
	Task job.Task
	Run  int64
	// Checkpoint is the latest checkpoint that the run has saved, empty if none.
	Checkpoint string
	// Percent is the speed of the task: 100 is full speed, less means that it is
	// starting up or slowed down.
	Percent int
	// Load is the tail latency in milliseconds of a serving task, and the CPU in use of
	// any other task.
	Load int64
}

// EndKind says how a run ended.
type EndKind string

// Ways in which a run ends, as workers report them.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed runs ended because their worker's lease lapsed.
	EndLapsed EndKind = "lapsed"
	// EndBroken runs ended because another member of their gang ended.
	EndBroken EndKind = "broken"
	// EndAlone runs waited for the other members of their gang beyond the platform's limit.
	// Only failed runs count as attempts of their task.
	EndAlone EndKind = "alone"
)

// EndRow is the end of a run, which a worker reports until it is acknowledged.
type EndRow struct {
	// Number counts the ends of an incarnation, from 1.
	Number     int64
	Task       job.Task
	Run        int64
	How        EndKind
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	// StartedAt is the start time of the incarnation that answered, 0 if not given.
	StartedAt int64
	// ClockMs is the worker's monotonic clock.
	ClockMs int64
	Running []RunRow
	Ended   []EndRow
	// Partial reports hold only one page of the ends.
	Partial bool
}

// Outcome is the result of an order to a worker or for a host.
type Outcome int

// Results of orders.
const (
	// Accepted orders are in effect.
	Accepted Outcome = iota
	// Fenced orders carried a lower token than the highest that the worker has seen.
	Fenced
	// Old orders carried a run number that is not above that of a run which was stopped
	// or has ended there.
	Old
	// Late orders arrived after their deadline, or were queued for so long in the leader that
	// they were never sent.
	Late
	// NoCapacity means that the run doesn't fit on the worker.
	NoCapacity
	// NoTicket means that the adviser's ticket is missing or has expired.
	NoTicket
	// Unhealthy workers did not carry out the order.
	Unhealthy
	// OtherIncarnation means that another incarnation answered.
	OtherIncarnation
	// Refused orders were malformed or not understood.
	Refused
	// Busy means that the host can't be ordered now or that the platform accepts no
	// more calls.
	Busy
	// Unknown orders got no answer. They may have been carried out or may still be.
	Unknown
	// Broken orders got no answer either: the worker's end of the connection was closed after
	// they were sent. They reached a worker that can be reached, unlike those to one that is cut off.
	Broken
)

// outcomeNames holds the outcomes as logs and metrics show them. "no room" is NoCapacity
// and "other life" is OtherIncarnation; visible names stay as they are.
var outcomeNames = [...]string{
	"accepted", "fenced", "old", "late", "no room", "no ticket", "unhealthy",
	"other life", "refused", "busy", "unknown", "connection broken",
}

// String returns the outcome's name as it is logged.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// isUnanswered reports whether an order got no answer, so that it may have been carried out.
func (o Outcome) isUnanswered() bool {
	return o == Unknown || o == Broken
}

// Answer is a worker's answer to an order.
type Answer struct {
	Outcome Outcome
	// ClockMs is the worker's monotonic clock, 0 if the answer had none.
	ClockMs int64
	// Token is that of the order, 0 if it isn't known.
	Token int64
	// Worker is the worker that answered, if the outcome is OtherIncarnation.
	Worker WorkerID
	// IsReset is set if the outcome is Broken and the connection was reset or refused, which may also happen on the
	// way. Otherwise the worker closed it, as at the end of its process.
	IsReset bool
}

// HostState is what the platform is doing with a host.
type HostState string

// States of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "maintenance"
	HostDown        HostState = "down"
)

// Host is a machine of a pool as the platform lists it. It runs a worker and is not an
// entry host.
type Host struct {
	ID         HostID
	Pool       string
	State      HostState
	DataCentre string
	Rack       string
	// Labels are the labels of a worker on the host.
	Labels   []string
	Capacity job.Resources
	// Worker is empty while no worker runs on the host.
	Worker WorkerID
}

// Wave is a set of hosts to be maintained within a time.
type Wave struct {
	Number   int64
	Hosts    []HostID
	Duration time.Duration
	// MaxCount is how many hosts the wave may take down at once.
	MaxCount int
}

// AllowedWorker is a worker that the adviser allows for a step, with its ticket.
type AllowedWorker struct {
	Worker WorkerID
	Ticket string
}

// Action is something that the scheduler asks its caller to do.
type Action interface{ action() }

// Start orders a worker to start a run.
type Start struct {
	Worker     Incarnation
	Address    string
	Task       job.Task
	Run        int64
	Text       string
	Checkpoint string
	Ticket     string
	DeadlineMs int64
	Token      int64
	// NewConnection asks for a new connection because an earlier call got no answer.
	NewConnection bool
}

// Stop orders a worker to stop a run.
type Stop struct {
	Worker        Incarnation
	Address       string
	Task          job.Task
	Run           int64
	Token         int64
	NewConnection bool
}

// Hold is one call that extends a worker's lease, acknowledges ends and asks for a report
// of what runs and what has ended.
type Hold struct {
	Worker  Incarnation
	Address string
	// DeadlineMs is the end of the lease on the worker's clock. With 0 the hold extends no
	// lease: the worker has no runs, its clock isn't known, or leadership is not confirmed
	// recently enough.
	DeadlineMs int64
	Token      int64
	// Acknowledged is the number of the last end that is stored; the worker may drop all
	// ends up to it. It is 0 if there are no new ones.
	Acknowledged  int64
	Wait          time.Duration
	NewConnection bool
}

// Pace sets the speed of a task in percent.
type Pace struct {
	Worker  Incarnation
	Address string
	Task    job.Task
	Run     int64
	Percent int
	Token   int64
}

// Advise asks the adviser which workers may run a step.
type Advise struct {
	Job     job.ID
	Number  int
	Step    int
	Workers []WorkerID
}

// Move moves a host to a pool.
type Move struct {
	Host  HostID
	Pool  string
	Token int64
}

// Maintain starts the maintenance of a host.
type Maintain struct {
	Host  HostID
	Wave  int64
	Token int64
}

// ListHosts asks the platform for its list of hosts at once.
type ListHosts struct{}

// Commit stores records. Commits are stored in the order of their numbers, and the records of one that
// doesn't fit in one append in their order.
type Commit struct {
	// Number counts the commits, from 1.
	Number  int64
	Records []Record
}

// Record is the new value of a key; an empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// ReportWave reports the progress of a wave to the operators.
type ReportWave struct {
	Wave      int64
	Completed bool
}

// Decision is to be logged: what was decided and the values behind it.
type Decision struct {
	Event  string
	Job    job.ID
	Fields []any
}

func (Start) action()      {}
func (Stop) action()       {}
func (Hold) action()       {}
func (Pace) action()       {}
func (Advise) action()     {}
func (Move) action()       {}
func (Maintain) action()   {}
func (ListHosts) action()  {}
func (Commit) action()     {}
func (ReportWave) action() {}
func (Decision) action()   {}
