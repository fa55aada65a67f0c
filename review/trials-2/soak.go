package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// soak plays random faults and checks TWICE, UNASKED, MIXED and LOST. SEED seeds the faults; FAULTS lists the kinds.
func soak(w *world, trouble bool) []string {
	w.rec.isFull = true
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewSource(seed))
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	if seconds == 0 {
		seconds = 40
	}
	if os.Getenv("SPARE") != "" {
		w.cloud.spare = "admin"
		w.addMachines("admin", 4, minionConfig{clockRate: 0.98})
	}
	w.addMachines("desk", 7, minionConfig{clockRate: 0.98})
	w.addMachines("shops", 5, minionConfig{clockRate: 0.99})
	services := []string{"desk", "shops"}
	if w.cloud.spare != "" {
		services = append(services, "admin")
	}
	w.publish([]route{{name: "r-desk", prefix: "/desk/", service: "desk"}, {name: "r-shops", prefix: "/shops/", service: "shops"}}, services...)
	w.addHosts(zones...)
	w.awaitReady()
	time.Sleep(3 * time.Second)
	var jobs []*jobDef
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if trouble {
			w.injectFaults(rng, end)
		}
	}()
	jrng := rand.New(rand.NewSource(seed + 1000))
	for time.Now().Before(end) {
		j := randomJob(jrng)
		jobs = append(jobs, j)
		cancel := jrng.Intn(12) == 0 || j.steps[0].LongRunning && jrng.Intn(3) > 0
		repeat := jrng.Intn(6) == 0
		go func() {
			if !w.submit(j) {
				return
			}
			if cancel {
				time.Sleep(time.Duration(rand.Intn(1500)) * time.Millisecond)
				for range 5 {
					if status, _ := w.ask(w.nextHost(), http.MethodDelete, j.prefix+j.id, ""); status == http.StatusOK || status == http.StatusGone {
						j.mu.Lock()
						j.cancelled = true
						j.mu.Unlock()
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
			if repeat {
				time.Sleep(time.Duration(1000+rand.Intn(4000)) * time.Millisecond)
				w.ask(w.nextHost(), http.MethodPost, j.prefix+j.id, j.body())
			}
		}()
		time.Sleep(time.Duration(50+jrng.Intn(250)) * time.Millisecond)
	}
	<-done
	w.store.setMode("")
	w.setLate(0)
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
	}
	time.Sleep(8 * time.Second)
	for _, j := range jobs {
		if j.final == "" && !j.acceptedAt.IsZero() {
			w.state(j)
		}
	}
	out := w.duplicates()
	out = append(out, w.lost(jobs, "desk")...)
	for _, j := range jobs {
		out = append(out, w.checkJob(j)...)
	}
	out = append(out, w.checkLasting(jobs)...)
	fmt.Println(len(jobs), "jobs,", len(w.runs), "runs")
	return out
}

func randomJob(rng *rand.Rand) *jobDef {
	prefix := []string{"/desk/", "/shops/"}[rng.Intn(2)]
	work := time.Duration(200+rng.Intn(1500)) * time.Millisecond
	st := stepDef{Count: 1 + rng.Intn(6), Cpu: int64(1000 + rng.Intn(9000)), MemMb: 2048, EstimateMs: work.Milliseconds(), work: work}
	switch rng.Intn(9) {
	case 6:
		st.Speculative = true
	case 7:
		// It lasts until it is cancelled, or to the end.
		return &jobDef{id: fmt.Sprintf("%016x", rng.Uint64()), prefix: prefix, steps: []stepDef{{
			Count: 1 + rng.Intn(3), Cpu: 1500, MemMb: 1024, EstimateMs: 500, AntiAffinity: 1, LongRunning: true,
		}}}
	case 0:
		st.Gang = true
	case 1:
		st.AntiAffinity = 1
		st.Count = min(st.Count, 3)
	case 2:
		st.Affinity = "r1-1"
	}
	steps := []stepDef{st}
	if rng.Intn(2) == 0 {
		steps = append(steps, stepDef{Count: 1 + rng.Intn(4), Cpu: 3000, MemMb: 1024, EstimateMs: 500, After: []int{0}, work: 500 * time.Millisecond})
	}
	j := &jobDef{id: fmt.Sprintf("%016x", rng.Uint64()), prefix: prefix, steps: steps}
	if rng.Intn(6) == 0 {
		j.times, j.startAt, j.interval = 3, time.Now().Add(time.Duration(rng.Intn(3000))*time.Millisecond).UnixMilli(), time.Duration(500+rng.Intn(3000))*time.Millisecond
	}
	return j
}

// injectFaults injects random faults until end.
func (w *world) injectFaults(rng *rand.Rand, end time.Time) {
	all := []string{"restart", "restart", "restart", "cut", "kill", "term", "freeze", "store", "storm", "late", "corecut"}
	kinds := all
	if f := os.Getenv("FAULTS"); f != "" {
		kinds = strings.Split(f, ",")
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rng.Intn(1700)) * time.Millisecond)
		pool := w.cloud.inPool([]string{"desk", "shops"}[rng.Intn(2)])
		long := time.Duration(200+rng.Intn(3800)) * time.Millisecond
		h := w.hosts[rng.Intn(len(w.hosts))]
		if rng.Intn(2) == 0 {
			h = w.leader()
		}
		switch k := kinds[rng.Intn(len(kinds))]; {
		case (k == "restart" || k == "storm" || k == "cut") && len(pool) == 0:
		case k == "restart":
			pool[rng.Intn(len(pool))].crash(time.Duration(50+rng.Intn(3000)) * time.Millisecond)
		case k == "storm":
			for _, m := range pool {
				if rng.Intn(2) == 0 {
					m.crash(time.Duration(50+rng.Intn(1500)) * time.Millisecond)
				}
			}
		case k == "cut":
			g := pool[rng.Intn(len(pool))].gate
			w.rec.log("minion %s is cut off for %v", g.m.id, long)
			g.cut()
			time.AfterFunc(long, func() {
				g.mu.Lock()
				m := g.m
				g.mu.Unlock()
				m.mu.Lock()
				isDown := m.isDown
				m.mu.Unlock()
				if !isDown {
					g.heal()
				}
			})
		case k == "kill":
			w.rec.log("%s is killed", h.name)
			h.signal(syscall.SIGKILL)
		case k == "term":
			w.rec.log("%s gets SIGTERM", h.name)
			h.signal(syscall.SIGTERM)
		case k == "freeze":
			w.rec.log("%s is frozen for %v", h.name, long)
			h.signal(syscall.SIGSTOP)
			time.AfterFunc(long, func() { h.signal(syscall.SIGCONT) })
		case k == "late":
			w.rec.log("half of the orders are late for %v", long)
			w.setLate(0.5)
			time.AfterFunc(long, func() { w.setLate(0) })
		case k == "corecut":
			w.rec.log("%s is cut off from the store for %v", h.name, long)
			h.cutFromStore(true)
			time.AfterFunc(long, func() { h.cutFromStore(false) })
		case k == "store":
			mode := []string{"down", "busy", "lost", "slow"}[rng.Intn(4)]
			w.rec.log("the store is %s for %v", mode, long)
			w.store.setMode(mode)
			time.Sleep(long)
			w.store.setMode("")
		}
	}
}

// checkLasting checks at the end of a calm time that each task that lasts has a run, and that no task of a cancelled job has.
func (w *world) checkLasting(jobs []*jobDef) []string {
	var out []string
	for _, j := range jobs {
		running := make(map[string]int)
		for _, r := range w.runsOf(j.id) {
			if r.to.IsZero() {
				running[r.task]++
			}
		}
		if j.cancelled && len(running) > 0 {
			out = append(out, fmt.Sprintf("job %s was cancelled and has %d tasks running", j.id, len(running)))
		}
		if st := j.steps[0]; st.LongRunning && !j.cancelled && j.final == "" && !j.acceptedAt.IsZero() && len(running) < st.Count {
			out = append(out, fmt.Sprintf("job %s lasts and has %d of %d tasks running", j.id, len(running), st.Count))
		}
	}
	return out
}

// checkJob checks the runs and the final state of a job.
func (w *world) checkJob(j *jobDef) []string {
	var out []string
	doneTasks := make(map[string]bool)
	failed := 0
	for _, r := range w.runsOf(j.id) {
		if r.spec != "job "+j.id {
			out = append(out, fmt.Sprintf("%s ran with the spec %q", r.task, r.spec))
		}
		if r.how == "done" {
			doneTasks[r.task] = true
		}
		if r.how == "failed" {
			failed++
		}
	}
	want := 0
	for _, st := range j.steps {
		n := st.Count
		if st.Gang {
			n = 1
		}
		want += n * max(j.times, 1)
	}
	if j.final == "completed" && len(doneTasks) < want {
		out = append(out, fmt.Sprintf("job %s is shown as completed, with %d of %d tasks done", j.id, len(doneTasks), want))
	}
	crashes := make(map[string]int)
	most := 0
	for _, r := range w.runsOf(j.id) {
		if r.how == "crashed" {
			crashes[r.task]++
			most = max(most, crashes[r.task])
		}
	}
	if j.final == "failed" && most < 1 {
		out = append(out, fmt.Sprintf("job %s is shown as failed; %d runs failed, at most %d minions crashed under a task", j.id, failed, most))
	}
	if j.final == "cancelled" && !j.cancelled {
		out = append(out, fmt.Sprintf("job %s is shown as cancelled; nobody has cancelled it", j.id))
	}
	return out
}

func (w *world) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
}

func (w *world) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateShare > 0 && rand.Float64() < w.lateShare
}
