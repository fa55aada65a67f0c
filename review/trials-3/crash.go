package main

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/estate"
)

func init() { cases["late-crash"] = lateCrash }

// lateCrash submits a job whose only task crashes each worker that starts it, a second after its start. The worker is
// back 3 s later. After three crashes the task may be started twice more.
func lateCrash(record string, trouble bool) (int, error) {
	const (
		crashAfter = time.Second
		backAfter  = 3 * time.Second
		watch      = 60 * time.Second
		crashes    = 3
		maxMore    = 2
		path       = "/desk/00000000000000e1"
		task       = "00000000000000e1.0.0.0"
	)
	b, err := newBed(bedConfig{
		Record: record, Machines: []machine{smallSite, smallSite, smallSite},
		Estate: estate.Config{
			Services: map[string]int{"desk": 4}, TaskTime: 2 * time.Second, MaxRuns: 100, MoveTime: 1500 * time.Millisecond,
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
	if status, _ := b.ask(b.hosts[0], fasthttp.MethodPost, path, `{"Spec":"deadly","Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":2000}]}`); status != fasthttp.StatusOK {
		return cantRun, fmt.Errorf("the job was answered %d", status)
	}
	begun := time.Now()
	seen, state := 0, ""
	for asked := begun; time.Since(begun) < watch && !strings.Contains(state, "completed") && !strings.Contains(state, "failed"); time.Sleep(5 * time.Millisecond) {
		if time.Since(asked) > 2*time.Second {
			asked = time.Now()
			_, state = b.ask(b.hosts[1], fasthttp.MethodGet, path, "")
		}
		starts := b.estate.Starts()
		if !trouble || len(starts) == seen {
			continue
		}
		seen = len(starts)
		w := b.worker(starts[seen-1].Worker)
		time.AfterFunc(time.Until(starts[seen-1].At.Add(crashAfter)), func() {
			b.note("%s has crashed", starts[seen-1].Worker)
			_, _ = b.estate.Restart(w, backAfter, 0)
		})
	}
	more := len(b.estate.Starts()) - crashes
	b.note("%d workers crashed under the task in %s; it was started %d times after the third crash", b.estate.Crashes(task), time.Since(begun).Round(time.Second), max(more, 0))
	if more > maxMore {
		return broken, nil
	}
	return held, nil
}

// worker returns the present worker with the id of an incarnation.
func (b *bed) worker(incarnation string) *estate.Worker {
	id, _, _ := strings.Cut(incarnation, "@")
	for _, w := range b.estate.Workers() {
		if reflect.ValueOf(w).Elem().FieldByName("id").String() == id {
			return w
		}
	}
	return nil
}
