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

// claims weighs the ways in which a repeated key can be kept from running twice.
var claims = measure.Measurement{
	Name:  "claims",
	Usage: "doubles and refusals of four ways to guard repeated keys, and bytes per claim",
	Run:   runClaims,
}

// Shape of the trials.
const (
	trials = 20_000
	// replaced is the chance that a host is replaced between a request and its
	// repeat, cut that a data centre is cut off from all else meanwhile, and away
	// that the log is away at the first request.
	replaced = 0.2
	cut      = 0.1
	away     = 0.05
	// copies is how many peers hold a claim.
	copies = 2
)

// trial is one request with a key and its repeat through another host.
type trial struct {
	key string
	// hosts are all entry hosts; host i stands in data centre i%dataCentres.
	hosts         []inventory.EntryID
	first, second int
	// fresh hosts were replaced between the two and remember nothing.
	fresh []bool
	// cutFirst and cutSecond are the data centre that is cut off at the request
	// and at its repeat, or -1. The platform is outside of it.
	cutFirst, cutSecond int
	logAway             bool
	log                 *claim.Table
}

// reaches reports whether hosts a and b reach one another.
func reaches(a, b, cutOff int) bool {
	return a%dataCentres == b%dataCentres || (a%dataCentres != cutOff && b%dataCentres != cutOff)
}

// guard decides whether the request at a host may run. It returns whether the
// request ran and whether it was refused.
type guard struct {
	name string
	// play returns whether the first request ran and whether its repeat did.
	play func(t *trial) (first, second bool)
}

var guards = []guard{
	{"kept", playKept},
	{"reachable_peers", func(t *trial) (bool, bool) { return playPeers(t, false) }},
	{"fixed_peers", func(t *trial) (bool, bool) { return playPeers(t, true) }},
	{"log", playLog},
}

// playKept keeps the answer at the host that ran the request.
func playKept(t *trial) (first, second bool) {
	return true, t.first != t.second || t.fresh[t.first]
}

// playPeers claims the key at the first ranks: those in reach, or fixed ones.
func playPeers(t *trial, fixed bool) (first, second bool) {
	order := lease.Rank(lease.Duty(t.key), t.hosts)
	holders := func(from, cutOff int) ([]int, bool) {
		var out []int
		for _, id := range order {
			i := slices.Index(t.hosts, id)
			if len(out) == copies {
				break
			}
			if reaches(from, i, cutOff) {
				out = append(out, i)
			} else if fixed {
				return nil, false
			}
		}
		return out, true
	}
	at, ok := holders(t.first, t.cutFirst)
	asked, ok2 := holders(t.second, t.cutSecond)
	if !ok2 {
		return ok, false
	}
	known := slices.ContainsFunc(asked, func(i int) bool { return ok && slices.Contains(at, i) && !t.fresh[i] })
	return ok, !known
}

// playLog claims the key through the log, with the code of the product.
func playLog(t *trial) (first, second bool) {
	run := func(host, cutOff int, id journal.RecordID, logAway bool) bool {
		if logAway || host%dataCentres == cutOff {
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
	first = run(t.first, t.cutFirst, "first-"+journal.RecordID(t.key), t.logAway)
	return first, run(t.second, t.cutSecond, "second-"+journal.RecordID(t.key), false)
}

func runClaims(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, g := range guards {
		o.Progress(g.name)
		random := rand.New(rand.NewPCG(o.Seed, 3))
		log := claim.NewTable()
		doubles, refused, ran := 0, 0, 0
		for i := range trials {
			first, second := g.play(newTrial(random, i, log))
			if first && second {
				doubles++
			}
			if !first {
				refused++
			}
			if first || second {
				ran++
			}
		}
		figures = append(figures,
			measure.Figure{Name: "claims." + g.name + "_doubles", Value: float64(doubles), Unit: measure.Count, Deterministic: true},
			measure.Figure{Name: "claims." + g.name + "_first_refused", Value: ratio(refused, trials), Unit: measure.Ratio, Deterministic: true},
			measure.Figure{Name: "claims." + g.name + "_ran", Value: ratio(ran, trials), Unit: measure.Ratio, Deterministic: true},
		)
	}
	sizes, err := claimSizes()
	return append(figures, sizes...), err
}

func newTrial(random *rand.Rand, i int, log *claim.Table) *trial {
	t := &trial{key: fmt.Sprintf("key-%d", i), cutFirst: -1, cutSecond: -1, log: log}
	for h := range entryHosts {
		t.hosts = append(t.hosts, inventory.EntryID(fmt.Sprintf("entry-%d", h)))
		t.fresh = append(t.fresh, random.Float64() < replaced)
	}
	t.first, t.second = random.IntN(entryHosts), random.IntN(entryHosts)
	if random.Float64() < cut {
		t.cutFirst = random.IntN(dataCentres)
	}
	if random.Float64() < cut {
		t.cutSecond = random.IntN(dataCentres)
	}
	t.logAway = random.Float64() < away
	return t
}

// claimSizes returns the bytes of one claim in groups of several sizes.
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
