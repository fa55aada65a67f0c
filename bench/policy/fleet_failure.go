package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// outage is a period in which a host is unavailable without a grant.
type outage struct {
	host     inventory.HostID
	from, to time.Time
}

// generateOutages draws the failures and restarts during the given days.
func generateOutages(r *rand.Rand, begin time.Time, days, hosts, failuresPerDay, restartsPerDay int) []outage {
	var out []outage
	draw := func(n int, length func() time.Duration) {
		for range n * days {
			from := begin.Add(time.Duration(r.Int64N(int64(days) * int64(24*time.Hour))))
			out = append(out, outage{inventory.HostID(fmt.Sprintf("host-%04d", r.IntN(hosts))), from, from.Add(length())})
		}
	}
	draw(failuresPerDay, func() time.Duration { return 30*time.Minute + time.Duration(r.IntN(8*60))*time.Minute })
	draw(restartsPerDay, func() time.Duration { return 3*time.Minute + time.Duration(r.IntN(7*60))*time.Second })
	slices.SortFunc(out, func(a, b outage) int { return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.host, b.host)) })
	return out
}

// availabilityChange is the start or end of an outage.
type availabilityChange struct {
	at   time.Time
	host inventory.HostID
	down bool
}

func availabilityChanges(all []outage) []availabilityChange {
	var out []availabilityChange
	for _, o := range all {
		out = append(out, availabilityChange{o.from, o.host, true}, availabilityChange{o.to, o.host, false})
	}
	slices.SortStableFunc(out, func(a, b availabilityChange) int { return a.at.Compare(b.at) })
	return out
}

// lowerBound returns the shortest time in which the budgets allow the reboots of the
// hosts if all durations and outages are known in advance: the longest time that any
// domain needs to complete the reboots of its hosts within its budget.
func lowerBound(sim *fleetSimulation, v *pool.View, hosts map[inventory.HostID]struct{}, start time.Time, outages []outage) time.Duration {
	work := make(map[budget.Domain]time.Duration)
	longest := time.Duration(0)
	for id := range hosts {
		f := sim.hosts[id]
		longest = max(longest, f.drain+f.restart)
		for _, d := range v.Hosts[id].Place().Domains() {
			work[d] += f.drain + f.restart
		}
	}
	failed := make(map[budget.Domain][]outage)
	for _, o := range outages {
		for _, d := range v.Hosts[o.host].Place().Domains() {
			failed[d] = append(failed[d], o)
		}
	}
	bound := longest
	for d, need := range work {
		bound = max(bound, timeToComplete(need, v.Limit(d), failed[d], start))
	}
	return bound
}

// timeToComplete returns how long a limit on concurrent reboots, less the unavailable
// hosts, takes to complete the work.
func timeToComplete(work time.Duration, limit int, outages []outage, start time.Time) time.Duration {
	const step = 5 * time.Second
	for t := time.Duration(0); ; t += step {
		free := limit
		for _, o := range outages {
			if at := start.Add(t); !at.Before(o.from) && at.Before(o.to) {
				free--
			}
		}
		work -= time.Duration(max(free, 0)) * step
		if work <= 0 {
			return t + step
		}
	}
}
