package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"syscall"
	"time"
)

var zones = []string{"mvd-a", "mvd-b", "mvd-c"}

func newJob(prefix string, steps ...stepDef) *jobDef {
	return &jobDef{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, steps: steps}
}

// addMachines adds n machines to a pool, spread over the zones, four to a rack.
func (w *world) addMachines(pool string, n int, cfg minionConfig) {
	for i := range n {
		c := cfg
		c.zone = zones[i%len(zones)]
		c.rack = fmt.Sprintf("r%d-%d", i%len(zones)+1, i/12+1)
		w.cloud.add(pool, c)
	}
}

// finishTime is finish_s.
const finishTime = 14 * time.Second

// lost asks for jobs finish_s after the end of the traffic, and watches for 3 s whether those that aren't final have anything
// running while there is room. It returns the breaches of LOST.
func (w *world) lost(jobs []*jobDef, service string) []string {
	time.Sleep(finishTime)
	var out []string
	var open []*jobDef
	for _, j := range jobs {
		if j.acceptedAt.IsZero() || j.final != "" {
			continue
		}
		status, state := 0, ""
		for try := 0; try < 5 && status != http.StatusOK; try++ {
			status, state = w.state(j)
		}
		w.rec.log("client: job %s is %q (%s) %v after the end of the traffic", j.id, state, statusName(status), finishTime)
		switch {
		case status != http.StatusOK:
			out = append(out, fmt.Sprintf("job %s, accepted, gets %s", j.id, statusName(status)))
		case j.final == "":
			open = append(open, j)
		}
	}
	idle := make(map[*jobDef]bool)
	for _, j := range open {
		idle[j] = true
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		var used, all int64
		for _, m := range w.cloud.inPool(service) {
			m.mu.Lock()
			used += m.used().cpu
			m.mu.Unlock()
			all += minionRoom.cpu
		}
		for _, j := range open {
			if w.running(j.id) > 0 || 2*used >= all {
				idle[j] = false
			}
		}
	}
	for _, j := range open {
		if idle[j] {
			out = append(out, fmt.Sprintf("job %s, accepted %.0f s before, isn't final and has had nothing running for 3 s, with room", j.id, time.Since(j.acceptedAt).Seconds()))
		}
	}
	return out
}

// large: a leader is killed while a job of many small tasks is in its first step.
func large(w *world, trouble bool) []string {
	w.cloud.spare = "admin"
	w.addMachines("desk", 9, minionConfig{})
	w.addMachines("admin", 2, minionConfig{})
	w.publish([]route{{name: "r-desk", prefix: "/desk/", service: "desk"}}, "desk", "admin")
	w.addHosts(zones...)
	w.awaitReady()
	time.Sleep(3 * time.Second)
	jobs := []*jobDef{newJob("/desk/",
		stepDef{Count: 9, Cpu: 50_000, MemMb: 1024, EstimateMs: 4000, work: 4 * time.Second},
		stepDef{Count: 5000, Cpu: 100, MemMb: 128, EstimateMs: 1000, After: []int{0}, work: time.Second},
	)}
	w.submit(jobs[0])
	time.Sleep(3 * time.Second)
	if trouble {
		h := w.leader()
		w.rec.log("the process of %s, the leader, is killed", h.name)
		h.signal(syscall.SIGKILL)
	}
	for range 10 {
		time.Sleep(time.Second)
		j := newJob("/desk/", stepDef{Count: 2, Cpu: 1000, MemMb: 256, EstimateMs: 300, work: 300 * time.Millisecond})
		w.submit(j)
		jobs = append(jobs, j)
		go w.await(j, 5*time.Second)
	}
	go w.await(jobs[0], 12*time.Second)
	return w.lost(jobs, "desk")
}

// drift: the minions of a service, whose clocks are 2% slow, have been idle for long while another service has work. One of
// them is cut off right after it has started a task.
func drift(w *world, trouble bool) []string {
	w.addMachines("desk", 6, minionConfig{clockRate: 0.98})
	w.addMachines("shops", 6, minionConfig{})
	w.publish([]route{{name: "r-desk", prefix: "/desk/", service: "desk"}, {name: "r-shops", prefix: "/shops/", service: "shops"}}, "desk", "shops")
	w.addHosts(zones...)
	w.awaitReady()
	stop := make(chan struct{})
	defer close(stop)
	go w.traffic("/shops/", 25*time.Millisecond, stop)
	w.rec.log("no work for the service desk for 78 s")
	time.Sleep(78 * time.Second)
	j := newJob("/desk/", stepDef{Count: 1, Cpu: 3500, MemMb: 4096, EstimateMs: 10_000, work: 10 * time.Second})
	w.submit(j)
	var m *minion
	for until := time.Now().Add(5 * time.Second); m == nil && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if rs := w.runsOf(j.id); len(rs) > 0 {
			m = w.minions[rs[0].minion]
		}
	}
	if m == nil {
		return nil
	}
	time.Sleep(50 * time.Millisecond)
	if trouble {
		w.rec.log("minion %s is cut off: its connections are reset, new ones refused; it runs on", m.id)
		m.gate.cut()
		time.AfterFunc(minionCut, func() {
			w.rec.log("the cut of %s has healed", m.id)
			m.gate.heal()
		})
	}
	w.await(j, 18*time.Second)
	return w.duplicates()
}

// minionCut is how long a minion is cut off.
const minionCut = 5500 * time.Millisecond

// traffic submits small jobs until stop is closed.
func (w *world) traffic(prefix string, gap time.Duration, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		go w.submitQuietly(newJob(prefix, stepDef{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 300, work: 300 * time.Millisecond}))
	}
}

// repool: the route of a job is replaced by one with another service, and the job's submission is repeated (not with
// REPEAT=0). Then a minion with one of its tasks is cut off,
// and the leader is stopped as planned.
func repool(w *world, trouble bool) []string {
	w.addMachines("desk", 9, minionConfig{})
	w.addMachines("shops", 6, minionConfig{})
	shops := route{name: "r-shops", prefix: "/shops/", service: "shops"}
	w.publish([]route{shops, {name: "r-desk", prefix: "/desk/", service: "desk"}}, "desk", "shops")
	w.addHosts(zones...)
	w.awaitReady()
	time.Sleep(3 * time.Second)
	j := newJob("/desk/", stepDef{Count: 6, Cpu: 3500, MemMb: 4096, EstimateMs: 14_000, AntiAffinity: 1, work: 14 * time.Second})
	w.submit(j)
	time.Sleep(time.Second)
	w.publish([]route{shops}, "desk", "shops")
	time.Sleep(time.Second)
	w.publish([]route{shops, {name: "r-desk-2", prefix: "/desk/", service: "shops"}}, "desk", "shops")
	time.Sleep(3 * time.Second)
	if os.Getenv("REPEAT") != "0" {
		h := w.nextHost()
		status, _ := w.ask(h, http.MethodPost, j.prefix+j.id, j.body())
		w.rec.log("client: POST %s%s to %s again: %s", j.prefix, j.id, h.name, statusName(status))
	}
	time.Sleep(time.Second)
	if trouble {
		m := w.minions[w.runsOf(j.id)[0].minion]
		w.rec.log("minion %s is cut off: its connections are reset, new ones refused; it runs on", m.id)
		m.gate.cut()
		time.AfterFunc(minionCut, func() {
			w.rec.log("the cut of %s has healed", m.id)
			m.gate.heal()
		})
		h := w.leader()
		w.rec.log("%s, the leader, gets SIGTERM", h.name)
		h.signal(syscall.SIGTERM)
	}
	w.await(j, 40*time.Second)
	return w.duplicates()
}

// blamed: a task's minion crashes. The minion that starts the task next is cut off, carries the task out, crashes behind the cut
// and starts again.
func blamed(w *world, trouble bool) []string {
	w.rec.isFull = true
	w.addMachines("desk", 9, minionConfig{})
	w.publish([]route{{name: "r-desk", prefix: "/desk/", service: "desk"}}, "desk")
	w.addHosts(zones...)
	w.awaitReady()
	time.Sleep(3 * time.Second)
	j := newJob("/desk/", stepDef{Count: 2, Cpu: 3500, MemMb: 4096, EstimateMs: 600, work: 600 * time.Millisecond})
	w.submit(j)
	first := w.awaitRun(j, 0)
	if trouble && first != nil {
		time.Sleep(150 * time.Millisecond)
		n := len(w.runsOf(j.id))
		w.current(first.minion).crash(2 * time.Second)
		second := w.awaitRun(j, n)
		if second == nil {
			return nil
		}
		m := w.current(second.minion)
		time.Sleep(20 * time.Millisecond)
		w.rec.log("minion %s is cut off: its connections are reset, new ones refused; it runs on", m.id)
		m.gate.cut()
		time.Sleep(1500 * time.Millisecond)
		w.rec.log("minion %s crashes behind the cut", m.id)
		m.crash(time.Second)
	}
	state := w.await(j, 25*time.Second)
	crashed, failed := make(map[string]int), 0
	for _, r := range w.runsOf(j.id) {
		switch r.how {
		case "crashed":
			crashed[r.task]++
		case "failed":
			failed++
		}
	}
	w.rec.log("minions that crashed under a task of the job: %v; runs that ended failed: %d", crashed, failed)
	if state != "failed" || failed > 0 {
		return nil
	}
	for _, n := range crashed {
		if n > 1 {
			return nil
		}
	}
	return []string{fmt.Sprintf("job %s is shown as failed: no run has ended failed, and at most one minion has crashed under each of its tasks", j.id)}
}

// awaitRun returns a run of a job beyond the first n, once one has begun.
func (w *world) awaitRun(j *jobDef, n int) *taskRun {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if rs := w.runsOf(j.id); len(rs) > n {
			return &rs[n]
		}
	}
	return nil
}

// advised: two of the tasks of a job that lasts, of a queue with an adviser, lose their minions. Others start on the machines.
func advised(w *world, trouble bool) []string {
	const tasks, crashes = 15, 2
	w.rec.isFull = true
	w.addMachines("desk", tasks, minionConfig{})
	w.publish([]route{{name: "r-desk", prefix: "/desk/", service: "desk", isAdvised: true}}, "desk")
	w.addHosts(zones...)
	w.awaitReady()
	time.Sleep(3 * time.Second)
	j := newJob("/desk/", stepDef{Count: tasks, Cpu: 3500, MemMb: 4096, EstimateMs: 500, AntiAffinity: 1, LongRunning: true, MayMiss: 2})
	w.submit(j)
	time.Sleep(3 * time.Second)
	if rs := w.runsOf(j.id); trouble && len(rs) == tasks {
		for _, r := range rs[:crashes] {
			w.current(r.minion).crashForGood(4 * time.Second)
		}
	}
	// The rule holds from 6 s after the last run of a task, for any 3 s that are calm, as the 4 s before them.
	time.Sleep(8500 * time.Millisecond)
	idleSince := make(map[string]time.Time)
	broken := make(map[string]bool)
	for until := time.Now().Add(24 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		isRunning := make(map[string]bool)
		for _, r := range w.runsOf(j.id) {
			isRunning[r.task] = isRunning[r.task] || r.to.IsZero()
		}
		for task, ok := range isRunning {
			switch since, isIdle := idleSince[task]; {
			case ok:
				delete(idleSince, task)
			case !isIdle:
				idleSince[task] = time.Now()
			case time.Since(since) >= 3*time.Second && !broken[task]:
				broken[task] = true
				w.rec.log("%s has had no run for 3 s", task)
			}
		}
	}
	var out []string
	for task := range broken {
		out = append(out, task+" is to last and had no run for 3 calm seconds, beside two free minions")
	}
	return out
}
