package scheduling

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/job"
	"github.com/godwitcross/godwitcross/fleet/workspace"
)

// responseNames holds the classes of responses as metrics show them.
var responseNames = [...]string{onTime: "in time", late: "late", overdue: "overdue"}

// JobEnded reports the end of a workspace's job that runs once, for metrics.
type JobEnded struct {
	Workspace workspace.Name
	State     job.State
	// Response says whether a completed job met its objective; empty for others.
	Response string
	// Took is the time since the job was accepted.
	Took time.Duration
}

func (JobEnded) action() {}

// reportEnd reports the end of a job for the metrics of its workspace, if it has one.
func (s *Scheduler) reportEnd(now time.Time, js *jobState) {
	if js.Workspace == "" || js.Times > 0 || js.LongRunning() {
		return
	}
	e := JobEnded{Workspace: js.Workspace, State: js.state, Took: now.Sub(js.acceptedAt)}
	if js.state == job.Completed && len(js.occurrences) > 0 {
		q, _ := s.queueOf(js)
		class, _ := s.lateness(now, q, js.occurrences[0].steps[0])
		e.Response = responseNames[class]
	}
	s.emit(e)
}
