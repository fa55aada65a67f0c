package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/placement"
)

func newJobs(c *Connection) *cli.Command {
	var team, explain string
	return &cli.Command{
		Name: "jobs", Usage: "show the jobs of a data centre, or why one does not start",
		Description: "Each data centre has its own jobs; name one of its entry hosts with --entry.\n\nExample: ctl jobs --team Pressing\n         ctl jobs --explain plan-17",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "show only this team's jobs", Destination: &team},
			&cli.StringFlag{Name: "explain", Usage: "show the state of this job and why it does not start", Destination: &explain},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if explain != "" {
				return explainJob(c, cmd, explain)
			}
			return listJobs(c, cmd, team)
		},
	}
}

func listJobs(c *Connection, cmd *cli.Command, team string) error {
	var s operation.JobSummary
	if err := c.Get("/jobs?Team="+url.QueryEscape(team), &s); err != nil {
		return withExitCode(err)
	}
	return printItems(cmd.Root().Writer, c.Output, s.Jobs, "JOB\tTEAM\tTEMPLATE\tSTATE\tWORKER\tATTEMPT\tACCEPTED\tREASON", func(j placement.Job) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s", j.ID, j.Team, j.Template, j.State, j.Start.Worker, j.Attempt, j.AcceptedAt.Format(time.RFC3339), j.Reason)
	})
}

func explainJob(c *Connection, cmd *cli.Command, id string) error {
	var e placement.Explanation
	if err := c.Get("/jobs/explain?ID="+url.QueryEscape(id), &e); err != nil {
		return withExitCode(err)
	}
	return printItems(cmd.Root().Writer, c.Output, []placement.Explanation{e}, "JOB\tSTATE\tPOOL\tWORKER\tAHEAD\tNEVER\tREASON", func(e placement.Explanation) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%t\t%s", e.Job, e.State, e.Pool, e.Worker, e.Ahead, e.Never, e.Reason)
	})
}

func newSubmit(c *Connection) *cli.Command {
	var id string
	return &cli.Command{
		Name: "submit", Usage: "submit the jobs of a file", ArgsUsage: "FILE",
		Description: "FILE holds a list of jobs. Either all are accepted or none. After exit code 4, submit the same file again: " +
			"a job that was already accepted is not accepted twice.\n\nExample: ctl submit jobs.json",
		Flags: []cli.Flag{&cli.StringFlag{Name: "id", Usage: "ID of the submission; a repeated submission with the same ID has no effect", Destination: &id}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			jobs, err := readJobs(cmd)
			if err != nil {
				return withInputExitCode(err)
			}
			var result journal.Result
			if err := c.Post("/jobs", operation.Submission{ID: recordID(id), Jobs: jobs}, &result); err != nil {
				return withExitCode(err)
			}
			fmt.Fprintf(cmd.Root().Writer, "accepted %d jobs\n", len(jobs))
			return nil
		},
	}
}

func readJobs(cmd *cli.Command) ([]configuration.Job, error) {
	if cmd.Args().Len() != 1 {
		return nil, eris.New("want one file of jobs")
	}
	b, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return nil, eris.Wrap(err, "reading the jobs")
	}
	var jobs []configuration.Job
	if err := json.Unmarshal(b, &jobs); err != nil {
		return nil, eris.Wrap(err, "reading the jobs")
	}
	for _, j := range jobs {
		if err := j.Validate(); err != nil {
			return nil, err
		}
	}
	return jobs, nil
}

func newCancel(c *Connection) *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel jobs", ArgsUsage: "JOB...",
		Description: "Jobs that have ended or are unknown are ignored, so that a repeated call has no effect.\n\nExample: ctl cancel plan-17 plan-18",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return withInputExitCode(eris.New("want at least one job"))
			}
			var request operation.Cancellation
			for _, a := range cmd.Args().Slice() {
				request.Jobs = append(request.Jobs, inventory.JobID(a))
			}
			var response operation.CancelResponse
			if err := c.Post("/jobs/cancel", request, &response); err != nil {
				return withExitCode(err)
			}
			fmt.Fprintf(cmd.Root().Writer, "requested the cancellation of %d jobs\n", response.Jobs)
			return nil
		},
	}
}

// recordID returns the ID, or a new random ID if it is empty.
func recordID(id string) journal.RecordID {
	if id == "" {
		id = uuid.NewString()
	}
	return journal.RecordID(id)
}
