// Package scheduling decides where and when the tasks of accepted jobs run, which
// hosts serve which pool, and when hosts are maintained. One entry host, the owner,
// runs a Scheduler at a time. It is a state machine without sockets, timers or
// clocks: events go in with the present time, actions come out.
package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// WorkerID names a worker. A worker may start again under the same ID.
type WorkerID string

// HostID names a host of a pool. A worker is one incarnation on a host.
type HostID string

// Incarnation is one incarnation of a worker.
type Incarnation struct {
	ID WorkerID
	// StartedAt is the start of the incarnation in Unix milliseconds, 0 where unknown.
	StartedAt int64 `json:"Born"`
}

// Entry is what a worker has registered of itself.
type Entry struct {
	Incarnation
	Pool       string
	Address    string
	DataCentre string
	Host       HostID
	// Kind and Rack are the two labels that every worker has.
	Kind, Rack string
	Labels     []string
	Capacity   job.Resources
	// Draining workers take no new work and leave.
	Draining bool
	// Leaving is the least time that is left to a draining worker.
	Leaving time.Duration
}

// RunRow is one run that a worker reports.
type RunRow struct {
	Task job.Task
	Run  int64
	// Checkpoint is the newest that the run has saved; empty is none.
	Checkpoint string
	// Percent is how fast the task works: 100 is at work, less is starting or paced.
	Percent int
	// Load is the tail in milliseconds of a serving task, or the CPU in use of others.
	Load int64
}

// EndKind says how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// EndRow is the end of a run that a worker reports until it is acknowledged.
type EndRow struct {
	// Number rises by one with each end of an incarnation, from 1.
	Number     int64
	Task       job.Task
	Run        int64
	How        EndKind
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	// StartedAt is the incarnation that answered, 0 where it didn't say.
	StartedAt int64
	// ClockMs is the worker's steady clock.
	ClockMs int64
	Running []RunRow
	Ended   []EndRow
	// Partial lists hold only a page of the ends.
	Partial bool
}

// Outcome is what became of an order to a worker or for a host.
type Outcome int

// Outcomes of orders.
const (
	// Accepted orders are in force.
	Accepted Outcome = iota
	// Fenced orders carried a lower token than the worker has seen.
	Fenced
	// Old runs are not higher than one that stopped or ended there.
	Old
	// Late orders arrived after their deadline.
	Late
	// NoCapacity says that the run doesn't fit.
	NoCapacity
	// NoTicket says that the adviser's ticket is missing or not valid any more.
	NoTicket
	// Unhealthy workers have done nothing.
	Unhealthy
	// OtherIncarnation says that another incarnation answered.
	OtherIncarnation
	// Refused orders are not understood.
	Refused
	// Busy hosts can't be ordered now, or the platform takes no more calls.
	Busy
	// Unknown orders had no answer and may be carried out, also later.
	Unknown
)

var outcomeNames = [...]string{
	"accepted", "fenced", "old", "late", "no room", "no ticket", "unhealthy",
	"other life", "refused", "busy", "unknown",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Answer is a worker's answer to an order.
type Answer struct {
	Outcome Outcome
	// ClockMs is the worker's steady clock, 0 where it wasn't told.
	ClockMs int64
	// Worker is the incarnation that answered OtherIncarnation.
	Worker WorkerID
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

// Host is a host as the platform lists it.
type Host struct {
	ID         HostID
	Pool       string
	State      HostState
	DataCentre string
	Rack       string
	// Labels are those that a worker on the host has.
	Labels   []string
	Capacity job.Resources
	// Worker is empty while no worker runs on the host.
	Worker WorkerID
}

// Wave is a set of hosts to be maintained in time.
type Wave struct {
	Number   int64
	Hosts    []HostID
	Duration time.Duration
	// MaxCount hosts at most may be down for the wave at once.
	MaxCount int
}

// AllowedWorker is one worker that an adviser allows, with its ticket.
type AllowedWorker struct {
	Worker WorkerID
	Ticket string
}

// Action is something that the scheduler asks its task to do.
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
	// NewConnection asks for a new connection, as an earlier call had no answer.
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

// Hold extends a worker's lease, acknowledges ends and asks for both lists.
type Hold struct {
	Worker  Incarnation
	Address string
	// DeadlineMs is 0 where the worker's clock isn't known yet.
	DeadlineMs int64
	Token      int64
	// Acknowledged is the number of the last end that is stored.
	Acknowledged  int64
	Wait          time.Duration
	NewConnection bool
}

// Pace sets the share at which a task works.
type Pace struct {
	Worker  Incarnation
	Address string
	Task    job.Task
	Run     int64
	Percent int
	Token   int64
}

// Advise asks which workers may run a step.
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

// Maintain begins a host's maintenance.
type Maintain struct {
	Host  HostID
	Wave  int64
	Token int64
}

// ListHosts asks for the platform's list of hosts now.
type ListHosts struct{}

// Commit stores records in one append, in the order of their numbers.
type Commit struct {
	// Number rises by one with each commit.
	Number  int64
	Records []Record
}

// Record is a key's new value; an empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// ReportWave tells the operators how far a wave is.
type ReportWave struct {
	Wave      int64
	Completed bool
}

// Note is a line for the log: a decision with what decided it.
type Note struct {
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
func (Note) action()       {}
