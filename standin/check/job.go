package check

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/operation"
	core "github.com/godwitcross/godwitcross/fleet/placement"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

// sampleJob returns a job that runs for 300 ms in a pool of Corchos.
func sampleJob(id string) configuration.Job {
	return configuration.Job{
		ID: inventory.JobID(id), Owner: "Corchos", Team: "Pressing", Labels: label.Set{"Pool": "BatchPlans"},
		Template: "press", Command: "run 300ms", Declared: inventory.Size{Cores: 4000, Memory: inventory.Gibibyte},
		DeclaredTime: configuration.Duration(time.Hour),
	}
}

// runJobs submits a job that completes, a long one that it cancels, and one that is too
// large for any host, and waits for their states.
func runJobs(d *deployment.Deployment) error {
	c := client.New(d.Entries[0].Settings.OperatorAddress, "corchos-operator")
	large, long := sampleJob("check-large"), sampleJob("check-long")
	large.Declared.Cores = 1_000_000
	long.Command = "run 1h"
	s := operation.Submission{ID: "check-jobs", Jobs: []configuration.Job{large, sampleJob("check-job"), long}}
	var v journal.Result
	if err := c.Post("/jobs", s, &v); err != nil {
		return err
	}
	if err := awaitJob(c, "check-job", core.Done); err != nil {
		return err
	}
	if err := c.Post("/jobs/cancel", operation.Cancellation{Jobs: []inventory.JobID{"check-long"}}, &operation.CancelResponse{}); err != nil {
		return err
	}
	if err := awaitJob(c, "check-long", core.Cancelled); err != nil {
		return err
	}
	var e core.Explanation
	if err := c.Get("/jobs/explain?ID=check-large", &e); err != nil {
		return err
	}
	if !e.Never {
		return eris.Wrapf(ErrCheckFailed, "a job that fits on no host is not reported as such: %+v", e)
	}
	return verifyTasksStartedOnce(d)
}

// awaitJob waits until the job has the state.
func awaitJob(c *client.Client, id inventory.JobID, want core.State) error {
	return await(func() error {
		var e core.Explanation
		if err := c.Get("/jobs/explain?ID="+string(id), &e); err != nil {
			return err
		}
		if e.State != want {
			return eris.Wrapf(ErrCheckFailed, "job %s is %s: %s", id, e.State, e.Reason)
		}
		return nil
	})
}

// verifyTasksStartedOnce fails if a worker started a task more than once.
func verifyTasksStartedOnce(d *deployment.Deployment) error {
	for _, w := range d.Platform.Fleet.Workers(time.Now()) {
		for id, t := range w.Tasks {
			if t.Starts > 1 {
				return eris.Wrapf(ErrCheckFailed, "task %s on %s", id, fmt.Sprintf("started %d times", t.Starts))
			}
		}
	}
	return nil
}
