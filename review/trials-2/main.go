// Command trials runs the cases of the second review: entry hosts as processes of the project's program, on a stand-in for the
// users' platform that follows their pages.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// trial is a case. It returns the breaches of its rule.
type trial func(w *world, trouble bool) []string

// longest is the longest time that a trial runs.
const longest = 116 * time.Second

var trials = map[string]trial{
	"large": large, "drift": drift, "repool": repool, "blamed": blamed, "advised": advised, "soak": soak,
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: trials NAME RECORD")
	}
	t, ok := trials[os.Args[1]]
	if !ok {
		cannotRun("no trial %s", os.Args[1])
	}
	if _, err := os.Stat("target/godwitcross"); err != nil {
		cannotRun("%s", err)
	}
	w := newWorld(os.Args[2])
	time.AfterFunc(longest, func() {
		fmt.Fprintln(os.Stderr, "can't run: it takes too long")
		w.tearDown()
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	w.rec.log("trial %s, trouble %v", os.Args[1], trouble)
	breaches := t(w, trouble)
	w.tearDown()
	for _, b := range breaches {
		w.rec.log("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaches) > 0 {
		os.Exit(1)
	}
	w.rec.log("held")
	fmt.Println("held")
}
