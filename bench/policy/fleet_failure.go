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

// outage is one time in which a host is away without a grant.
type outage struct {
	host     inventory.HostID
	from, to time.Time
}

// outagesOf draws the failures and restarts of some days.
func outagesOf(r *rand.Rand, begin time.Time, days, hosts, failuresPerDay, restartsPerDay int) []outage {
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

// change is a moment at which a host goes or comes back.
type change struct {
	at   time.Time
	host inventory.HostID
	down bool
}

func changesOf(all []outage) []change {
	var out []change
	for _, o := range all {
		out = append(out, change{o.from, o.host, true}, change{o.to, o.host, false})
	}
	slices.SortStableFunc(out, func(a, b change) int { return a.at.Compare(b.at) })
	return out
}

// lowerBound returns the least time in which the budgets allow the reboots of the
// hosts, when all durations and outages are known beforehand: for each domain,
// the time until its free budget has carried the work of its hosts.
func lowerBound(w *fleetWorld, v *pool.View, hosts map[inventory.HostID]struct{}, start time.Time, outages []outage) time.Duration {
	work := make(map[budget.Domain]time.Duration)
	longest := time.Duration(0)
	for id := range hosts {
		f := w.hosts[id]
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
	most := longest
	for d, need := range work {
		most = max(most, timeToCarry(need, v.Limit(d), failed[d], start))
	}
	return most
}

// timeToCarry returns how long a limit, less the hosts that are away, takes to
// carry the work.
func timeToCarry(need time.Duration, limit int, away []outage, start time.Time) time.Duration {
	const step = 5 * time.Second
	for t := time.Duration(0); ; t += step {
		free := limit
		for _, o := range away {
			if at := start.Add(t); !at.Before(o.from) && at.Before(o.to) {
				free--
			}
		}
		need -= time.Duration(max(free, 0)) * step
		if need <= 0 {
			return t + step
		}
	}
}
