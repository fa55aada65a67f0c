package platform

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// The states of tasks on workers.
const (
	TaskRunning      TaskState = "Running"
	TaskThrottled    TaskState = "Throttled"
	TaskCheckpointed TaskState = "Checkpointed"
	TaskDone         TaskState = "Done"
	TaskFailed       TaskState = "Failed"
	TaskStopped      TaskState = "Stopped"
)

// Task is a task as its worker reports it.
type Task struct {
	ID    placement.TaskID
	State TaskState
	Epoch journal.Epoch
	// Starts counts executions; it is 0 for a task that was stopped before it arrived.
	Starts int
	// Peak is the task's peak usage of each resource.
	Peak inventory.Size
	// Used is the processor time so far, in millicores times milliseconds.
	Used int64
}

// TaskStart is the request to run a task under a lease.
type TaskStart struct {
	Epoch journal.Epoch
	// Boot is the worker's expected restart count; a worker with another count refuses.
	Boot    int
	Term    time.Duration
	Size    inventory.Size
	RunTime time.Duration
	Command string
	// Resume is the task from whose checkpoint this one continues; empty for a start from
	// the beginning.
	Resume placement.TaskID `json:",omitempty"`
}

// TaskCommand is a command to a task or, as a renewal, to all tasks of a worker.
type TaskCommand struct {
	Epoch journal.Epoch
	Term  time.Duration `json:",omitempty"`
}

// WorkerStatus is a worker with its tasks.
type WorkerStatus struct {
	Facts inventory.WorkerInfo
	// Reboots counts restarts.
	Reboots int
	Tasks   map[placement.TaskID]Task
}

// UsageReport is the processor time that a worker's tasks used up to a time.
type UsageReport struct {
	// Boot counts restarts; Used starts again at 0 with each.
	Boot int
	At   time.Time
	// Used is counted since the restart, in millicores times milliseconds.
	Used int64
}

func workerPath(w inventory.WorkerID) string {
	return "/workers/" + string(w)
}

// Workers returns the workers of a data centre.
func (c *Client) Workers(dc inventory.DataCentreID) ([]WorkerStatus, error) {
	var all []WorkerStatus
	err := c.call(fasthttp.MethodGet, "/workers?DataCentre="+string(dc), nil, &all, CallTimeout)
	return all, err
}

// StartTask starts a task. A worker that already knows the task returns it and starts
// nothing, so the call may be repeated after ErrUncertain.
func (c *Client) StartTask(w inventory.WorkerID, id placement.TaskID, s TaskStart) (Task, error) {
	var t Task
	err := c.call(fasthttp.MethodPost, workerPath(w)+"/tasks/"+string(id), s, &t, CallTimeout)
	return t, err
}

// CommandTask throttles, checkpoints or stops a task. Stopping a task that the worker
// doesn't know prevents it from ever being started there.
func (c *Client) CommandTask(w inventory.WorkerID, id placement.TaskID, verb placement.Verb, command TaskCommand) (Task, error) {
	var t Task
	err := c.call(fasthttp.MethodPost, workerPath(w)+"/tasks/"+string(id)+"/"+string(verb), command, &t, CallTimeout)
	return t, err
}

// RenewTasks renews the leases of all tasks of a worker and returns the worker's status.
func (c *Client) RenewTasks(w inventory.WorkerID, command TaskCommand) (WorkerStatus, error) {
	var s WorkerStatus
	err := c.call(fasthttp.MethodPost, workerPath(w)+"/renew", command, &s, CallTimeout)
	return s, err
}

// Usage returns the usage reports of a worker. They may be late, missing or repeated.
func (c *Client) Usage(w inventory.WorkerID) ([]UsageReport, error) {
	var all []UsageReport
	err := c.call(fasthttp.MethodGet, workerPath(w)+"/usage", nil, &all, CallTimeout)
	return all, err
}
