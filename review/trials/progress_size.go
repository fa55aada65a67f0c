package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// occurrences is how often the schedule runs, every interval, with width tasks each.
	occurrences = 520
	interval    = 120 * time.Millisecond
	width       = 24
	// parts is into how many jobs the same schedule is divided without the trouble.
	parts = 10
	// finishTime is finish_s; idleTime is how long a job has nothing running in the rule.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// progressSize hands in one scheduled job with many occurrences, and small jobs of other clients
// meanwhile. Without the trouble the same schedule is divided into several jobs. It looks for accepted jobs
// that finish_s after the end of the traffic have not ended and have nothing running on idle minions, or get
// no answer.
func progressSize(t *trial) error {
	pools := []pool{{"desk", 9}, {"quotes", 6}, {"admin", 4}}
	if err := t.start(pools, "admin", []route{newRoute("schedules", "desk"), newRoute("checks", "quotes")}, 3); err != nil {
		return err
	}
	t.rec.quiet = true
	n := 1
	if !t.trouble {
		n = parts
	}
	startAt := time.Now().Add(2 * time.Second)
	var schedules, checks []string
	for i := range n {
		path := fmt.Sprintf("/schedules/%016x", 0xc0000+i)
		body := fmt.Sprintf(`{"Spec":"ms=50 cpu=500 schedule","Steps":[{"Count":%d,"Cpu":500,"MemMb":100,"EstimateMs":50}],"Times":%d,"StartAtMs":%d,"IntervalMs":%d}`,
			width, occurrences/n, startAt.Add(time.Duration(i)*occurrences/time.Duration(n)*interval).UnixMilli(), interval.Milliseconds())
		if err := t.submit(path, body); err != nil {
			return err
		}
		schedules = append(schedules, path)
	}
	end := startAt.Add(occurrences * interval)
	claims := map[string]bool{}
	for i := 0; time.Now().Before(end); i++ {
		path := fmt.Sprintf("/checks/%016x", 0xd0000+i)
		h := t.hosts[i%len(t.hosts)]
		status, _ := h.ask(http.MethodPost, path, `{"Spec":"ms=300 cpu=2000 check","Steps":[{"Count":2,"Cpu":2000,"MemMb":100,"EstimateMs":300},{"Count":2,"Cpu":2000,"MemMb":100,"EstimateMs":300,"After":[0]}]}`)
		t.rec.note("POST %s at %s: %d", path, h.name, status)
		if status/100 == 2 {
			checks = append(checks, path)
		}
		claims[string(t.p.store.get("keyed.owner", "Claim"))] = true
		time.Sleep(time.Second)
	}
	t.rec.note("end of the traffic; %d small jobs were accepted; the largest record of progress had %d bytes", len(checks), t.p.store.largestOf("keyed.progress"))
	for until := time.Now().Add(finishTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		claims[string(t.p.store.get("keyed.owner", "Claim"))] = true
	}
	for _, line := range t.p.store.refusedAppends() {
		t.rec.note("the store refused: %s", line)
	}
	open := t.open(append(append([]string{}, schedules...), checks...))
	startsBefore := t.rec.totalStarts()
	// The rule looks at the capacity of the job's service: room for the job's step twice over, and under half
	// of the capacity in use.
	services := map[string]*serviceUse{
		"schedules": {name: "desk", need: 2 * width * 500},
		"checks":    {name: "quotes", need: 2 * 2 * 2000},
	}
	hasRun := make(map[string]bool)
	for until := time.Now().Add(idleTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, u := range services {
			u.observe(t.p)
		}
		t.rec.runningJobs(hasRun)
	}
	for _, u := range services {
		t.rec.note("in the last %s service %s had at most %d in use and at least %d of thousandths of cores", idleTime, u.name, u.most, u.least)
	}
	t.rec.note("in that time %d tasks began; there were %d claims of leaders", t.rec.totalStarts()-startsBefore, len(claims))
	var idle, unanswered int
	for _, path := range t.open(open) {
		state := t.hosts[0].state(path)
		t.rec.note("GET %s: %s; had a run in that time: %v", path, state, hasRun[jobOf(path)])
		switch {
		case state != "queued" && state != "running":
			unanswered++
		case !hasRun[jobOf(path)] && services[queueOf(path)].hasRoom():
			idle++
		}
	}
	if idle+unanswered > 0 {
		return fmt.Errorf("%w: of %d accepted jobs, %d have nothing running for %s beside capacity of their service, and %d get no answer, %s after the end of the traffic",
			errBroken, len(schedules)+len(checks), idle, idleTime, unanswered, finishTime)
	}
	return nil
}

// jobOf returns the job's ID from its path.
func jobOf(path string) string {
	return path[strings.LastIndex(path, "/")+1:]
}

// queueOf returns the name of the queue from a job's path.
func queueOf(path string) string {
	return path[1:strings.LastIndex(path, "/")]
}

// serviceUse is the capacity of a service and what is in use of it, over some time.
type serviceUse struct {
	name string
	// need is the capacity for the job's step twice over.
	need int64
	// most is the most that was in use, least the least capacity there was; isSeen is set after the first look.
	most, least int64
	isSeen      bool
}

func (u *serviceUse) observe(p *plat) {
	used, all := int64(0), int64(0)
	for _, w := range p.minions(u.name) {
		used += w.used()
		all += w.capacity.Cpu
	}
	u.most = max(u.most, used)
	if !u.isSeen || all < u.least {
		u.least, u.isSeen = all, true
	}
}

// hasRoom reports whether the service had room all the while.
func (u *serviceUse) hasRoom() bool {
	return u.least-u.most >= u.need && 2*u.most < u.least
}

// open returns the jobs that aren't shown as completed.
func (t *trial) open(paths []string) []string {
	isOpen := make([]bool, len(paths))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i, path := range paths {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			isOpen[i] = t.hosts[i%len(t.hosts)].state(path) != "completed"
		}()
	}
	wg.Wait()
	var out []string
	for i, path := range paths {
		if isOpen[i] {
			out = append(out, path)
		}
	}
	return out
}
