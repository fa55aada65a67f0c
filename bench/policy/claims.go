package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/claim"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/lease"
)

// claims compares methods of deduplicating requests by idempotency key.
var claims = measure.Measurement{
	Name:  "claims",
	Usage: "duplicates and refusals of four deduplication methods for idempotency keys, and bytes per claim",
	Run:   measureClaims,
}

// Parameters of the trials.
const (
	claimTrials = 20_000
	// replacementProbability is the probability that a host is replaced between a
	// request and its retry, partitionProbability that a data centre is isolated during
	// a request, and logOutageProbability that the log is unavailable at the first
	// request.
	replacementProbability = 0.2
	partitionProbability   = 0.1
	logOutageProbability   = 0.05
	// claimReplicas is the number of peers that store a claim.
	claimReplicas = 2
)

// trial is a request with an idempotency key and its retry through another host.
type trial struct {
	key string
	// hosts are all entry hosts; host i is in data centre i%dataCentres.
	hosts         []inventory.EntryID
	first, second int
	// replaced marks hosts that were replaced between the request and its retry and so
	// have lost their state.
	replaced []bool
	// isolatedAtFirst and isolatedAtSecond are the data centres that are isolated
	// during the request and its retry, or -1. The platform is outside them.
	isolatedAtFirst, isolatedAtSecond int
	logUnavailable                    bool
	log                               *claim.Table
}

// canReach reports whether hosts a and b can reach each other.
func canReach(a, b, isolated int) bool {
	return a%dataCentres == b%dataCentres || (a%dataCentres != isolated && b%dataCentres != isolated)
}

// dedupMethod decides whether a host may run a request.
type dedupMethod struct {
	name string
	// run reports whether the first request and its retry were run.
	run func(t *trial) (first, second bool)
}

var dedupMethods = []dedupMethod{
	{"kept", runLocalCache},
	{"reachable_peers", func(t *trial) (bool, bool) { return runPeerClaims(t, false) }},
	{"fixed_peers", func(t *trial) (bool, bool) { return runPeerClaims(t, true) }},
	{"log", runLogClaims},
}

// runLocalCache caches the answer on the host that ran the request.
func runLocalCache(t *trial) (first, second bool) {
	return true, t.first != t.second || t.replaced[t.first]
}

// runPeerClaims stores the claim on the highest-ranked peers: if fixed is set, the
// request is refused unless all of them are reachable; otherwise unreachable ones are
// skipped.
func runPeerClaims(t *trial, fixed bool) (first, second bool) {
	order := lease.Rank(lease.Duty(t.key), t.hosts)
	holders := func(from, isolated int) ([]int, bool) {
		var out []int
		for _, id := range order {
			i := slices.Index(t.hosts, id)
			if len(out) == claimReplicas {
				break
			}
			if canReach(from, i, isolated) {
				out = append(out, i)
			} else if fixed {
				return nil, false
			}
		}
		return out, true
	}
	firstHolders, ok := holders(t.first, t.isolatedAtFirst)
	secondHolders, ok2 := holders(t.second, t.isolatedAtSecond)
	if !ok2 {
		return ok, false
	}
	known := slices.ContainsFunc(secondHolders, func(i int) bool { return ok && slices.Contains(firstHolders, i) && !t.replaced[i] })
	return ok, !known
}

// runLogClaims claims the key through the log with the production code.
func runLogClaims(t *trial) (first, second bool) {
	run := func(host, isolated int, id journal.RecordID, logUnavailable bool) bool {
		if logUnavailable || host%dataCentres == isolated {
			return false
		}
		k, err := claim.NewDigest("tenant", "service", t.key)
		if err != nil {
			return false
		}
		r, err := journal.NewRecord(id, claim.KindGroup, time.Unix(0, 0), "entry", claim.Group{Claims: []claim.Digest{k}})
		if err != nil || t.log.Apply(r) != nil {
			return false
		}
		holder, _ := t.log.Holder(k)
		return holder == id
	}
	first = run(t.first, t.isolatedAtFirst, "first-"+journal.RecordID(t.key), t.logUnavailable)
	return first, run(t.second, t.isolatedAtSecond, "second-"+journal.RecordID(t.key), false)
}

func measureClaims(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, m := range dedupMethods {
		o.Progress(m.name)
		random := rand.New(rand.NewPCG(o.Seed, 3))
		log := claim.NewTable()
		duplicates, refused, ran := 0, 0, 0
		for i := range claimTrials {
			first, second := m.run(newTrial(random, i, log))
			if first && second {
				duplicates++
			}
			if !first {
				refused++
			}
			if first || second {
				ran++
			}
		}
		figures = append(figures,
			measure.Figure{Name: "claims." + m.name + "_doubles", Value: float64(duplicates), Unit: measure.Count, Deterministic: true},
			measure.Figure{Name: "claims." + m.name + "_first_refused", Value: ratio(refused, claimTrials), Unit: measure.Ratio, Deterministic: true},
			measure.Figure{Name: "claims." + m.name + "_ran", Value: ratio(ran, claimTrials), Unit: measure.Ratio, Deterministic: true},
		)
	}
	sizes, err := claimSizes()
	return append(figures, sizes...), err
}

func newTrial(random *rand.Rand, i int, log *claim.Table) *trial {
	t := &trial{key: fmt.Sprintf("key-%d", i), isolatedAtFirst: -1, isolatedAtSecond: -1, log: log}
	for h := range entryHosts {
		t.hosts = append(t.hosts, inventory.EntryID(fmt.Sprintf("entry-%d", h)))
		t.replaced = append(t.replaced, random.Float64() < replacementProbability)
	}
	t.first, t.second = random.IntN(entryHosts), random.IntN(entryHosts)
	if random.Float64() < partitionProbability {
		t.isolatedAtFirst = random.IntN(dataCentres)
	}
	if random.Float64() < partitionProbability {
		t.isolatedAtSecond = random.IntN(dataCentres)
	}
	t.logUnavailable = random.Float64() < logOutageProbability
	return t
}

// claimSizes returns the bytes per claim for several group sizes.
func claimSizes() ([]measure.Figure, error) {
	var out []measure.Figure
	for _, n := range []int{1, 10, 100} {
		r, err := journal.NewRecord("01234567-89ab-cdef-0123-456789abcdef", claim.KindGroup, time.Unix(0, 1), "Montevideo-1-entry-1", claim.Group{Claims: make([]claim.Digest, n)})
		if err != nil {
			return nil, err
		}
		b, err := r.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, measure.Figure{Name: fmt.Sprintf("claims.bytes_in_group_of_%d", n), Value: float64(len(b)) / float64(n), Unit: measure.Bytes, Deterministic: true})
	}
	return out, nil
}
