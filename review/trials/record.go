package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and finds two runs of one task at a time.
type record struct {
	mu     sync.Mutex
	f      *os.File
	began  time.Time
	active map[string]map[string]time.Time
	// overlaps lists the tasks that had two runs at once; starts counts the starts of each task and
	// done its runs that ended done.
	overlaps map[string]time.Duration
	since    map[string]time.Time
	starts   map[string]int
	done     map[string]int
	quiet    bool
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{
		f: f, began: time.Now(), active: make(map[string]map[string]time.Time), overlaps: make(map[string]time.Duration),
		since: make(map[string]time.Time), starts: make(map[string]int), done: make(map[string]int),
	}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line; mu is held.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.f, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(w *minion, task string, number, token int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[task] == nil {
		r.active[task] = make(map[string]time.Time)
	}
	r.starts[task]++
	if !r.quiet {
		r.write("start   %s run %d on %s (%s), token %d", task, number, w.id, w.service, token)
	}
	if len(r.active[task]) > 0 {
		r.write("TWO RUNS of %s begin to run at once", task)
		r.since[task] = time.Now()
	}
	r.active[task][fmt.Sprint(w.id, number)] = time.Now()
}

func (r *record) ended(w *minion, task string, number int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[task], fmt.Sprint(w.id, number))
	if how == "done" {
		r.done[task]++
	}
	if !r.quiet {
		r.write("end     %s run %d on %s (%s): %s", task, number, w.id, w.service, how)
	}
	if at, ok := r.since[task]; ok && len(r.active[task]) == 1 {
		delete(r.since, task)
		r.overlaps[task] += time.Since(at)
		r.write("        %s had two runs at once for %d ms", task, time.Since(at).Milliseconds())
	}
}

// twice returns the tasks that had two runs at once.
func (r *record) twice() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]time.Duration)
	for t, d := range r.overlaps {
		out[t] = d
	}
	for t, at := range r.since {
		out[t] += time.Since(at)
	}
	return out
}

func (r *record) doneCount(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

func (r *record) startCount(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

func (r *record) totalStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.starts {
		n += c
	}
	return n
}

// runningJobs adds the jobs that have a run now.
func (r *record) runningJobs(to map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.active {
		if len(runs) > 0 {
			to[task[:strings.Index(task, ".")]] = true
		}
	}
}
