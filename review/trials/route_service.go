package main

import (
	"fmt"
	"syscall"
	"time"
)

// routeService publishes a configuration that sends a queue to another service while tasks of the queue's
// jobs run, and then stops and starts each entry host once, the leader
// first where it hasn't been stopped yet. It looks for tasks with two runs at once.
// Without the trouble the hosts aren't stopped.
func routeService(t *trial) error {
	pools := []pool{{"desk", 9}, {"quotes", 9}, {"admin", 6}}
	routes := []route{newRoute("plans", "desk"), newRoute("builds", "quotes")}
	if err := t.start(pools, "admin", routes, 7); err != nil {
		return err
	}
	// The other service is busy with jobs of its own and has capacity left on each minion.
	for i := range 9 {
		body := `{"Spec":"ms=90000 cpu=25000 build","Steps":[{"Count":2,"Cpu":25000,"MemMb":1000,"EstimateMs":60000,"AntiAffinity":1}]}`
		if err := t.submit(fmt.Sprintf("/builds/%016x", 0xb0000+i), body); err != nil {
			return err
		}
	}
	const jobs, width = 12, 6
	for i := range jobs {
		body := `{"Spec":"ms=70000 cpu=4000 plan","Steps":[{"Count":6,"Cpu":4000,"MemMb":1000,"EstimateMs":60000,"AntiAffinity":2}]}`
		if err := t.submit(fmt.Sprintf("/plans/%016x", 0xa0000+i), body); err != nil {
			return err
		}
	}
	task := func(i, k int) string { return fmt.Sprintf("%016x.0.0.%d", 0xa0000+i, k) }
	if err := t.until(20*time.Second, "all tasks run", func() bool {
		for i := range jobs {
			for k := range width {
				if t.rec.startCount(task(i, k)) == 0 {
					return false
				}
			}
		}
		return true
	}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	// One version removes the queue, the next adds it again with the other service. Each pause is longer
	// than ConfigMs, the last one also longer than StableWindowMs.
	t.p.publish([]route{newRoute("builds", "quotes")}, pools)
	time.Sleep(2500 * time.Millisecond)
	t.p.publish([]route{newRoute("plans", "quotes"), newRoute("builds", "quotes")}, pools)
	time.Sleep(5 * time.Second)
	if t.trouble {
		isStopped := make(map[*host]bool)
		for range t.hosts {
			h := t.nextToStop(isStopped)
			isStopped[h] = true
			t.rec.note("SIGTERM to %s; the leader is %s", h.name, t.hosts[leader(t.p, t.hosts)].name)
			h.signal(syscall.SIGTERM)
			h.wait()
			t.rec.note("%s has ended and is started again", h.name)
			if err := h.start(); err != nil {
				return err
			}
			time.Sleep(1300 * time.Millisecond)
		}
	} else {
		time.Sleep(30 * time.Second)
	}
	time.Sleep(3 * time.Second)
	if twice := t.rec.twice(); len(twice) > 0 {
		return fmt.Errorf("%w: %d tasks had two runs at once: %v", errBroken, len(twice), twice)
	}
	return nil
}

// nextToStop returns the leader, or another host if the leader was stopped already.
func (t *trial) nextToStop(isStopped map[*host]bool) *host {
	if h := t.hosts[leader(t.p, t.hosts)]; !isStopped[h] {
		return h
	}
	for _, h := range t.hosts {
		if !isStopped[h] {
			return h
		}
	}
	return nil
}
