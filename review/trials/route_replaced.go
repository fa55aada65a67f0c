package main

import (
	"fmt"
	"time"
)

// routeReplaced publishes a configuration in which another queue takes the place of one, at the same host
// and path, while jobs of that queue run. It then asks each entry host for the jobs, later than ConfigMs and
// visible_ms. Without the trouble the new configuration only changes a time-out.
func routeReplaced(t *trial) error {
	pools := []pool{{"desk", 6}, {"quotes", 6}, {"admin", 3}}
	routes := []route{newRoute("plans", "desk"), newRoute("builds", "quotes")}
	if err := t.start(pools, "admin", routes, 3); err != nil {
		return err
	}
	const jobs = 6
	var paths []string
	for i := range jobs {
		path := fmt.Sprintf("/plans/%016x", 0xe0000+i)
		if err := t.submit(path, `{"Spec":"ms=30000 cpu=4000 plan","Steps":[{"Count":3,"Cpu":4000,"MemMb":1000,"EstimateMs":30000}]}`); err != nil {
			return err
		}
		paths = append(paths, path)
	}
	time.Sleep(3 * time.Second)
	for _, path := range paths {
		for _, h := range t.hosts {
			t.rec.note("GET %s at %s: %s", path, h.name, h.state(path))
		}
	}
	next := newRoute("plans", "quotes")
	next.Name = "r-plans-next"
	if !t.trouble {
		next = newRoute("plans", "desk")
		next.TimeoutMs = 4000
	}
	t.p.publish([]route{next, newRoute("builds", "quotes")}, pools)
	time.Sleep(6 * time.Second)
	gone := 0
	for _, path := range paths {
		for _, h := range t.hosts {
			state := h.state(path)
			t.rec.note("GET %s at %s: %s", path, h.name, state)
			if state == "410" {
				gone++
			}
		}
	}
	if gone > 0 {
		return fmt.Errorf("%w: %d of %d questions for accepted jobs that run were answered 410", errBroken, gone, jobs*len(t.hosts))
	}
	return nil
}
