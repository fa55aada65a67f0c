// Command trials runs the cases of the review that are scripts: the entry hosts' program as separate
// processes on loopback addresses, against small stand-ins for the platform and its clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errBroken = errors.New("the rule was broken")

// trial is what a case needs.
type trial struct {
	rec *record
	// dir holds settings and logs.
	dir     string
	trouble bool
	hosts   []*host
	p       *plat
}

var trials = map[string]func(t *trial) error{
	"route-service":  routeService,
	"progress-size":  progressSize,
	"stop-request":   stopRequest,
	"route-replaced": routeReplaced,
}

// use: trials NAME DIR
func main() {
	os.Exit(runTrial())
}

func runTrial() int {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: trials NAME FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	t := &trial{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.note("trouble: %v", t.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- trials[os.Args[1]](t) }()
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("ended by a signal")
	}
	for _, h := range t.hosts {
		h.endForGood()
	}
	switch {
	case os.Getenv("KEEP") != "":
		fmt.Println("logs in", dir)
	default:
		_ = os.RemoveAll(dir)
	}
	switch {
	case err == nil:
		rec.note("held")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.note("broken: %s", err)
		fmt.Println("broken:", err)
		return exitBroken
	}
	rec.note("could not run: %s", err)
	fmt.Println("could not run:", err)
	return exitNotRun
}

// start starts the platform and the entry hosts, and waits until all hosts are ready.
func (t *trial) start(pools []pool, spare string, routes []route, hosts int) error {
	var err error
	if t.p, err = newPlatform(t.rec, pools, spare); err != nil {
		return err
	}
	t.p.publish(routes, pools)
	if t.hosts, err = newHosts(t.p, hosts, t.dir); err != nil {
		return err
	}
	return t.until(15*time.Second, "all hosts are ready", func() bool {
		for _, h := range t.hosts {
			if !h.isReady() {
				return false
			}
		}
		return leader(t.p, t.hosts) >= 0
	})
}

// until waits until a condition holds.
func (t *trial) until(d time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", d, what)
}

// submit hands a job in until it is accepted, at hosts in turn, and records the answers.
func (t *trial) submit(path, body string) error {
	for i := range 20 {
		h := t.hosts[i%len(t.hosts)]
		status, _ := h.ask("POST", path, body)
		t.rec.note("POST %s at %s: %d", path, h.name, status)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", path)
}
