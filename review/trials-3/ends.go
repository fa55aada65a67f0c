package main

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/estate"
)

func init() { cases["ends-after-takeover"] = endsAfterTakeover }

// endsAfterTakeover kills the leader while 700 small tasks of one job run on one worker. They end before the next
// leader asks the worker, whose answer lists 500 ends at a time. No task may start again after such an end.
func endsAfterTakeover(record string, trouble bool) (int, error) {
	const (
		tasks    = 700
		taskTime = time.Second
		// restartAfter is how long the killed process is down.
		restartAfter = 3 * time.Second
		finish       = 60 * time.Second
		path         = "/desk/00000000000000a1"
	)
	b, err := newBed(bedConfig{
		Record: record, Machines: []machine{smallSite, smallSite, smallSite},
		Estate: estate.Config{
			Services: map[string]int{"desk": 3}, TaskTime: taskTime, MaxRuns: 2000, MoveTime: 1500 * time.Millisecond,
			Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0},
		},
	})
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return cantRun, err
	}
	time.Sleep(time.Second)
	body := fmt.Sprintf(`{"Spec":"small tasks","Steps":[{"Count":%d,"Cpu":80,"MemMb":64,"EstimateMs":1000}]}`, tasks)
	if status, _ := b.ask(b.hosts[0], fasthttp.MethodPost, path, body); status != fasthttp.StatusOK {
		return cantRun, fmt.Errorf("the job was answered %d", status)
	}
	for deadline := time.Now().Add(5 * time.Second); len(b.estate.Starts()) < tasks; {
		if time.Now().After(deadline) {
			return cantRun, fmt.Errorf("only %d tasks have started", len(b.estate.Starts()))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		l := b.leader()
		b.note("%s, which wrote the last claim, is killed", l.name)
		l.kill()
		time.AfterFunc(restartAfter, func() {
			b.note("%s is started again", l.name)
			_ = l.start()
		})
		time.Sleep(restartAfter + time.Second)
	}
	state := ""
	for deadline := time.Now().Add(finish); time.Now().Before(deadline) && state != `{"State":"completed"}`; {
		time.Sleep(time.Second)
		_, state = b.ask(b.hosts[1], fasthttp.MethodGet, path, "")
	}
	time.Sleep(2 * time.Second) // ends of runs that started again
	return b.judgeRuns(tasks), nil
}

// judgeRuns notes the starts that break TWICE, and returns broken if there are any.
func (b *bed) judgeRuns(tasks int) int {
	again, overlaps := b.estate.RunsAgain(), b.estate.Overlaps()
	for _, r := range again {
		b.note("TWICE: %s run %d started on %s at %s, after run %d had ended as done on %s at %s; that end was acknowledged at %s", r.Start.Task, r.Start.Run,
			r.Start.Worker, r.Start.At.Format(timeFormat), r.End.Run, r.End.Worker, r.End.At.Format(timeFormat), r.End.AcknowledgedAt.Format(timeFormat))
	}
	for _, o := range overlaps {
		b.note("TWICE: %s run %d on %s since %s, and run %d on %s since %s", o.First.Task, o.First.Run, o.First.Worker, o.First.At.Format(timeFormat),
			o.Second.Run, o.Second.Worker, o.Second.At.Format(timeFormat))
	}
	b.note("%d starts of %d tasks, %d after an end as done, %d beside another run", len(b.estate.Starts()), tasks, len(again), len(overlaps))
	if len(again)+len(overlaps) > 0 {
		return broken
	}
	return held
}

// timeFormat is the format of times in the record.
const timeFormat = "15:04:05.000"
