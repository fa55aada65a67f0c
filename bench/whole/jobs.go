package whole

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

// jobInterval is the time between two submissions.
const jobInterval = 400 * time.Millisecond

// jobCommand is the command of each job, in the syntax of the simulated workers.
const jobCommand = "run 700ms"

// Submitter submits jobs to one data centre and records the accepted ones.
type Submitter struct {
	http     *client.Client
	mu       sync.Mutex
	pending  sync.WaitGroup
	accepted []inventory.JobID
}

// NewSubmitter returns a submitter that uses the client of one entry host.
func NewSubmitter(c *client.Client) *Submitter {
	return &Submitter{http: c}
}

// Submit submits the n-th job without waiting for the answer.
func (s *Submitter) Submit(n int) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		id := inventory.JobID(fmt.Sprintf("job-%d", n))
		job := configuration.Job{
			ID: id, Owner: "Campanella", Team: "Rendering", Labels: label.Set{"Pool": "Recordings"}, Template: "render",
			Declared: inventory.Size{Cores: inventory.MillicoresPerCore, Memory: inventory.Gibibyte}, Command: jobCommand,
		}
		var v journal.Result
		if err := s.http.Post("/jobs", operation.Submission{ID: journal.RecordID("submit-" + string(id)), Jobs: []configuration.Job{job}}, &v); err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted = append(s.accepted, id)
	}()
}

// AwaitEnds waits until the accepted jobs have ended or the deadline has passed and
// returns their states. The function starts returns the number of executions by task.
func (s *Submitter) AwaitEnds(until time.Time, starts func() map[string]int) []JobSample {
	s.pending.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]JobSample, len(s.accepted))
	for i, id := range s.accepted {
		out[i] = s.awaitEnd(id, until)
	}
	executions := starts()
	for i, j := range out {
		for task, n := range executions {
			if strings.HasPrefix(task, string(j.Job)+".") {
				out[i].Starts += n
			}
		}
	}
	return out
}

func (s *Submitter) awaitEnd(id inventory.JobID, until time.Time) JobSample {
	sample := JobSample{Job: id}
	for {
		var e placement.Explanation
		err := s.http.Get("/jobs/explain?ID="+string(id), &e)
		sample.Known, sample.Done = err == nil, e.State == placement.Done
		sample.State = string(e.State)
		if sample.Done || time.Now().After(until) {
			return sample
		}
		time.Sleep(observeInterval)
	}
}

// taskStarts returns the number of executions of each task by any worker.
func (r *Run) taskStarts() map[string]int {
	starts := make(map[string]int)
	for _, w := range r.deployment.Platform.Fleet.Workers(time.Now()) {
		for id, t := range w.Tasks {
			starts[id] += t.Starts
		}
	}
	return starts
}
