package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// decideTime and ticketTime are DecideMs and ValidMs of the advised routes.
	decideTime = 20 * time.Millisecond
	ticketTime = 30 * time.Second
)

// adviser is the service at Advice: it allows all minions that a call names, each with a ticket for the step.
type adviser struct {
	w  *world
	mu sync.Mutex
	// tickets holds the tickets by their text.
	tickets map[string]ticket
	// isUsed is set once a call was made; without one, minions ask for no tickets.
	isUsed bool
}

type ticket struct {
	step       string
	minion     *minion
	validUntil time.Time
}

func (a *adviser) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(decideTime + time.Duration(len(b.Workers))*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isUsed = true
	good := [][2]string{}
	for _, id := range b.Workers {
		if m := a.w.current(id); m != nil {
			text := fmt.Sprintf("t-%d", len(a.tickets)+1)
			a.tickets[text] = ticket{b.Step, m, time.Now().Add(ticketTime)}
			good = append(good, [2]string{id, text})
		}
	}
	a.w.rec.detail("adviser: step %s may run on %s for %v", b.Step, strings.Join(b.Workers, ", "), ticketTime)
	reply(rw, http.StatusOK, map[string]any{"Good": good, "ValidMs": ticketTime.Milliseconds()})
}

// isValid reports whether a start may carry a ticket on a minion.
func (a *adviser) isValid(m *minion, task, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isUsed {
		return true
	}
	t, ok := a.tickets[text]
	return ok && t.step == task[:strings.LastIndex(task, ".")] && t.minion == m && time.Now().Before(t.validUntil)
}
