package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/estate"
	"github.com/godwitcross/godwitcross/standin/local"
)

func init() { cases["takeover-over-small-link"] = takeoverOverSmallLink }

// takeoverOverSmallLink removes the leader, the only host with a link of 200 Mbit/s, for good. The others have links
// of 10 Mbit/s. The store holds accepted jobs that are due later, some 1.4 MB of records. One of the others has to take
// over: jobs go on, and lookups are answered.
func takeoverOverSmallLink(record string, trouble bool) (int, error) {
	const (
		clients = 4
		// watch is how long after the removal the jobs are asked for, far beyond finish_s.
		watch = 45 * time.Second
		chain = "/desk/00000000000000c1"
		after = "/desk/00000000000000c2"
	)
	large := machine{CPUShare: 0.8, MemoryMB: 536, LinkMbps: 200, IsLinkSlow: true}
	small := machine{CPUShare: 0.192, MemoryMB: 184, LinkMbps: 10, IsLinkSlow: true}
	b, err := newBed(bedConfig{
		Record: record, Machines: []machine{small, small, large},
		Estate: estate.Config{
			Services: map[string]int{"desk": 3}, TaskTime: time.Second, MaxRuns: 100, MoveTime: 1500 * time.Millisecond,
			Capacity: map[string]any{"Cpu": 64000, "MemMb": 131072, "Gpu": 0},
		},
	})
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return cantRun, err
	}
	if n := b.submitLater(laterJobs, clients); n < laterJobs {
		return cantRun, fmt.Errorf("only %d of %d jobs were accepted", n, laterJobs)
	}
	time.Sleep(3 * time.Second) // the hosts' links are idle again
	steps := `{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":1000}`
	for i := range 9 {
		steps += fmt.Sprintf(`,{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":1000,"After":[%d]}`, i)
	}
	if status, _ := b.ask(b.hosts[0], fasthttp.MethodPost, chain, `{"Spec":"chain","Steps":[`+steps+`]}`); status != fasthttp.StatusOK {
		return cantRun, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(2 * time.Second)
	if l := b.leader(); l != b.hosts[2] {
		return cantRun, fmt.Errorf("%s leads, not the large host", l.name)
	}
	if trouble {
		b.note("%s, which wrote the last claim, is killed and doesn't return", b.hosts[2].name)
		b.hosts[2].kill()
	}
	killedAt := time.Now()
	time.Sleep(time.Second)
	if status, _ := b.ask(b.hosts[0], fasthttp.MethodPost, after, `{"Spec":"after","Steps":[{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":1000}]}`); status != fasthttp.StatusOK {
		return cantRun, fmt.Errorf("the job after the removal was answered %d", status)
	}
	states := map[string]string{}
	for time.Since(killedAt) < watch && (states[chain] != completed || states[after] != completed) {
		for _, path := range []string{chain, after} {
			_, states[path] = b.ask(b.hosts[0], fasthttp.MethodGet, path, "")
		}
		time.Sleep(time.Second)
	}
	started := 0
	var last time.Time
	for _, s := range b.estate.Starts() {
		if last = s.At; s.At.After(killedAt) {
			started++
		}
	}
	b.note("%s after the removal: %d tasks have started since, the last start was at %s", time.Since(killedAt).Round(time.Second), started, last.Format(timeFormat))
	if states[chain] != completed || states[after] != completed {
		b.note("LOST: accepted jobs have nothing running while the workers are idle, or lookups of them get no answer")
		return broken, nil
	}
	return held, nil
}

// laterJobs is the number of jobs that are due later, and laterText the size of the text of each, about the mean
// size of requests on the grown deployments.
const (
	laterJobs = 500
	laterText = 2400
)

// completed is the answer to a lookup of a completed job.
const completed = `{"State":"completed"}`

// submitLater submits jobs that are due in an hour, and returns how many were accepted.
func (b *bed) submitLater(n, clients int) int {
	due := time.Now().Add(time.Hour).UnixMilli()
	spec := strings.Repeat("0123456789abcdef", laterText/16)
	ids := make(chan int, n)
	for i := range n {
		ids <- i
	}
	close(ids)
	accepted := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range ids {
				path := fmt.Sprintf("/desk/%016x", 0x1000+i)
				body := fmt.Sprintf(`{"Spec":"%s","Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":1000}],"Times":1,"StartAtMs":%d}`, spec, due)
				for try := range 5 {
					status, _ := local.SendRequest(b.hosts[(c+try)%len(b.hosts)].front, fasthttp.MethodPost, path, body)
					if status == fasthttp.StatusOK {
						mu.Lock()
						accepted++
						mu.Unlock()
						break
					}
					b.note("POST %s: %d", path, status)
				}
			}
		})
	}
	wg.Wait()
	b.note("%d jobs that are due in an hour were accepted, each with a text of %d bytes", accepted, len(spec))
	return accepted
}
