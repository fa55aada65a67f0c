package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/clock"
	"github.com/godwitcross/godwitcross/standin/estate"
)

const (
	workspaceCount = 3
	// maxKeyGap is the longest time between two changes of the keys.
	maxKeyGap = 600 * time.Millisecond
	// keysInForce is the number of keys beyond which each change removes one.
	keysInForce = 12
	// probeInterval is the pause between two requests that try a key.
	probeInterval = 15 * time.Millisecond
	// recentKeys is how many of the last keys are tried.
	recentKeys = 24
	// calmTime is how long a host must have had no fault for configTime to apply to it.
	calmTime = 4 * time.Second
	// keyTime is how long keys are changed and tried without faults, once calmTime has passed after the last one.
	keyTime = 4 * time.Second
	// unknownKey is a key that no configuration has.
	unknownKey = "key-unknown"
	// foreignSpec is that of jobs which another workspace submits under the ID of an accepted one.
	foreignSpec = "foreign"
)

// key is a key that was in a configuration.
type key struct {
	text      string
	workspace int
	// addedAt and removedAt are when its publication and its removal were acknowledged, removalAt when the removal
	// was sent; zero before.
	addedAt, removalAt, removedAt time.Time
}

// keyring holds the keys of the workspaces: one each that stays, and others that are added and removed.
type keyring struct {
	estate *estate.Estate

	mu sync.Mutex
	// keys are those that were published, in this order; guarded by mu.
	keys []*key
}

// stableKey returns the key of a workspace that is never removed.
func stableKey(workspace int) string {
	return fmt.Sprintf("key-%d-stable", workspace)
}

// publish publishes a configuration with all keys but those with a removal. Added keys are in force then.
func (k *keyring) publish(added ...*key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append(k.keys, added...)
	workspaces := make([]estate.Workspace, workspaceCount)
	for i := range workspaces {
		workspaces[i] = estate.Workspace{Name: fmt.Sprintf("workspace-%d", i), Weight: 100, Keys: []string{stableKey(i)}}
	}
	for _, o := range k.keys {
		if o.removalAt.IsZero() {
			workspaces[o.workspace].Keys = append(workspaces[o.workspace].Keys, o.text)
		}
	}
	k.estate.SetWorkspaces(workspaces)
	k.estate.PublishConfiguration()
	now := time.Now()
	for _, o := range k.keys {
		switch {
		case o.addedAt.IsZero():
			o.addedAt = now
		case !o.removalAt.IsZero() && o.removedAt.IsZero():
			o.removedAt = now
		}
	}
}

// change adds and removes keys until the context ends.
func (k *keyring) change(ctx context.Context, rng *rand.Rand) {
	for n := 1; clock.Sleep(ctx, time.Duration(rng.Int63n(int64(maxKeyGap)))); n++ {
		k.mu.Lock()
		inForce := slices.DeleteFunc(slices.Clone(k.keys), func(o *key) bool { return !o.removalAt.IsZero() })
		if len(inForce) > keysInForce || len(inForce) > 0 && rng.Intn(4) == 0 {
			inForce[rng.Intn(len(inForce))].removalAt = time.Now()
		}
		k.mu.Unlock()
		if rng.Intn(3) > 0 {
			k.publish(&key{text: fmt.Sprintf("key-%d", n), workspace: rng.Intn(workspaceCount)})
		} else {
			k.publish()
		}
	}
}

// choose returns one of the recent keys, in a third of the cases one that was removed.
func (k *keyring) choose(rng *rand.Rand) (*key, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.keys) == 0 {
		return nil, false
	}
	recent := k.keys[max(0, len(k.keys)-recentKeys):]
	if isRemoved := func(o *key) bool { return !o.removedAt.IsZero() }; rng.Intn(3) == 0 && slices.ContainsFunc(recent, isRemoved) {
		recent = slices.DeleteFunc(slices.Clone(recent), func(o *key) bool { return !isRemoved(o) })
	}
	return recent[rng.Intn(len(recent))], true
}

// judge returns what the platform says about a request with a key: whether the answer must not be a success, and
// whether it must not be a refusal.
func (k *keyring) judge(o *key, sentAt, answeredAt time.Time) (mustFail, mustSucceed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	mustFail = !o.removedAt.IsZero() && sentAt.Sub(o.removedAt) > configTime
	mustSucceed = !o.addedAt.IsZero() && sentAt.Sub(o.addedAt) > configTime && (o.removalAt.IsZero() || o.removalAt.After(answeredAt))
	return mustFail, mustSucceed
}

// probes counts the requests that the checks were about. disturbed are those with removed keys on hosts with faults,
// disturbedHandled those of them that were handled, the last one handledAfter the removal of its key.
type probes struct {
	unknown, removed, valid, foreign int
	disturbed, disturbedHandled      int
	handledAfter                     time.Duration
}

// fault is a disturbance of one host, or of all if process is nil. Its end is zero until it has ended.
type fault struct {
	process    *process
	begin, end time.Time
}

// disturb records a fault and returns the function that ends it.
func (s *soak) disturb(p *process) func() {
	f := &fault{process: p, begin: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.end = time.Now()
	}
}

// isCalm reports whether a host had no fault from calmTime before from until to; mu is held.
func (s *soak) isCalm(p *process, from, to time.Time) bool {
	return !slices.ContainsFunc(s.faults, func(f *fault) bool {
		concerns := f.process == nil || f.process == p
		return concerns && f.begin.Before(to) && (f.end.IsZero() || from.Sub(f.end) < calmTime)
	})
}

// probeKeys sends requests with all sorts of keys until the context ends, without waiting for the answers.
func (s *soak) probeKeys(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		p, choice, id := s.randomHost(rng), rng.Intn(8), fmt.Sprintf("f%015x", n)
		method := []string{fasthttp.MethodPost, fasthttp.MethodGet, fasthttp.MethodDelete}[rng.Intn(3)]
		switch o, ok := s.keyring.choose(rng); {
		case choice == 0:
			unknown := []string{"", unknownKey, stableKey(0) + "x"}[rng.Intn(3)]
			wg.Go(func() { s.probeUnknown(p, unknown, method, id) })
		case choice == 1:
			wg.Go(func() { s.probeForeign(p, method, rng.Int63()) })
		case ok:
			wg.Go(func() { s.probeKey(p, o, method, id) })
		}
		clock.Sleep(ctx, probeInterval)
	}
}

// probe sends a request about a job of its own, and returns whether it was handled and whether it was refused.
func probe(p *process, text, method, id string) (isHandled, isRefused bool) {
	j := job{id: id}
	status, _ := p.ask(text, method, "/desk/"+id, j.body())
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusGone, fasthttp.StatusBadRequest:
		return true, false
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden, fasthttp.StatusNotFound:
		return false, true
	}
	return false, false // no answer, or one that says nothing about the key
}

// probeUnknown checks that a request with an unknown key, or none, isn't handled.
func (s *soak) probeUnknown(p *process, text, method, id string) {
	isHandled, _ := probe(p, text, method, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes.unknown++
	s.forbidden[id] = "an unknown key"
	if isHandled {
		s.recordViolation("%s %s was handled with the unknown key %q", method, id, text)
	}
}

// probeKey checks that a request isn't handled with a key that was removed, nor refused with one that is in force.
func (s *soak) probeKey(p *process, o *key, method, id string) {
	sentAt := time.Now()
	isHandled, isRefused := probe(p, o.text, method, id)
	answeredAt := time.Now()
	mustFail, mustSucceed := s.keyring.judge(o, sentAt, answeredAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case mustFail && s.isCalm(p, sentAt, answeredAt):
		s.probes.removed++
		s.forbidden[id] = "the removed key " + o.text
		if isHandled {
			s.recordViolation("%s %s was sent at %s to %s and handled with the key %s, which was removed at %s", method, id,
				sentAt.Format(timeFormat), p.callerAddress, o.text, o.removedAt.Format(timeFormat))
		}
	case mustFail:
		s.probes.disturbed++
		if isHandled {
			s.probes.disturbedHandled++
			s.probes.handledAfter = max(s.probes.handledAfter, sentAt.Sub(o.removedAt))
			s.reportFault(p, fmt.Sprintf("request sent at %s handled with the removed key %s,", sentAt.Format(timeFormat), o.text), answeredAt.Sub(sentAt))
		}
	case mustSucceed:
		s.probes.valid++
		if isRefused {
			s.recordViolation("%s %s was sent at %s to %s and refused with the key %s, which was added at %s", method, id,
				sentAt.Format(timeFormat), p.callerAddress, o.text, o.addedAt.Format(timeFormat))
		}
	}
}

// probeForeign has another workspace than a job's submit a job with the same ID, look it up or cancel it. A job whose
// submission is repeated is left out: while no leader is there to notice the second workspace, nothing tells whose job was
// the first.
func (s *soak) probeForeign(p *process, method string, choice int64) {
	s.mu.Lock()
	var j *job
	if len(s.jobs) > 0 {
		j = s.jobs[choice%int64(len(s.jobs))]
	}
	isMeant := j != nil && j.accepted > 0 && !j.isRepeated && time.Since(j.submittedAt) < s.cfg.Retention/2
	s.mu.Unlock()
	if !isMeant {
		return
	}
	foreign := job{id: j.id}
	body := strings.Replace(foreign.body(), "job "+j.id, foreignSpec, 1)
	status, _ := p.ask(stableKey((j.workspace+1)%workspaceCount), method, j.path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes.foreign++
	if method == fasthttp.MethodGet && status == fasthttp.StatusOK {
		s.recordViolation("job %s was seen by another workspace", j.id)
	}
}

// checkKeys checks the starts of jobs that must not run; mu is held.
func (s *soak) checkKeys() {
	for _, st := range s.estate.Starts() {
		if with, ok := s.forbidden[st.Task[:16]]; ok {
			s.recordViolation("task %s ran, which was submitted with %s", st.Task, with)
		}
		if st.Spec == foreignSpec {
			s.recordViolation("task %s ran for another workspace", st.Task)
		}
	}
	fmt.Fprintf(s.cfg.Out, "seed %d: of %d requests with removed keys on hosts with faults %d were handled, up to %s after the removal\n",
		s.cfg.Seed, s.probes.disturbed, s.probes.disturbedHandled, s.probes.handledAfter.Round(time.Millisecond))
	fmt.Fprintf(s.cfg.Out, "seed %d: %d keys, requests with unknown keys %d, with removed ones %d, with valid ones %d, of other workspaces %d\n",
		s.cfg.Seed, len(s.keyring.keys), s.probes.unknown, s.probes.removed, s.probes.valid, s.probes.foreign)
}
