package wave

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrNoFit means that a pass cannot end in time.
var ErrNoFit = eris.New("the wave does not fit")

// DrainTime is how long a host is expected to drain.
const DrainTime = time.Minute

// maxWindows bounds the days that a forecast looks ahead.
const maxWindows = 366

// Candidate is a host that a pass has not rebooted yet.
type Candidate struct {
	Host  inventory.HostID
	Place budget.Place
}

// Domains tells the limits and counts of failure domains.
type Domains interface {
	Limit(d budget.Domain) int
	Count(d budget.Domain) budget.Count
}

// Order sorts the candidates of one pool so that the domain which needs the most
// rounds goes first. Then no rack or data centre is left over for the end.
func Order(all []Candidate, domains Domains) {
	rounds := remainingRounds(all, domains)
	urgency := make(map[inventory.HostID]float64, len(all))
	for _, c := range all {
		for _, d := range c.Place.Domains()[1:] {
			urgency[c.Host] = max(urgency[c.Host], rounds[d])
		}
	}
	slices.SortFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(urgency[b.Host], urgency[a.Host]), cmp.Compare(a.Host, b.Host))
	})
}

// remainingRounds returns how many rounds each domain needs at its limit.
func remainingRounds(all []Candidate, domains Domains) map[budget.Domain]float64 {
	rounds := make(map[budget.Domain]float64)
	for _, c := range all {
		for _, d := range c.Place.Domains() {
			rounds[d]++
		}
	}
	for d, n := range rounds {
		rounds[d] = n / float64(max(domains.Limit(d), 1))
	}
	return rounds
}

// Rounds returns how many rounds of reboots the candidates need at least when
// every domain uses its whole limit.
func Rounds(all []Candidate, domains Domains) int {
	most := 0.0
	for _, n := range remainingRounds(all, domains) {
		most = max(most, n)
	}
	rounds := int(most)
	if float64(rounds) < most {
		rounds++
	}
	return rounds
}

// Forecast returns when the candidates are all rebooted if each takes the
// duration, or ErrNoFit with the reason.
func Forecast(now time.Time, w configuration.Wave, all []Candidate, domains Domains, duration time.Duration) (time.Time, error) {
	window := NewWindow(w)
	if duration > window.Length {
		return time.Time{}, eris.Wrapf(ErrNoFit, "one host takes %s and the window is %s long", duration, window.Length)
	}
	left := Rounds(all, domains)
	if left == 0 {
		return now, nil
	}
	at := now
	for range maxWindows {
		at = window.Next(at)
		end, _ := window.Open(at)
		n := min(left, int(end.Sub(at)/duration))
		at = at.Add(time.Duration(n) * duration)
		if left -= n; left == 0 {
			return at, nil
		}
		at = end
	}
	return time.Time{}, eris.Wrapf(ErrNoFit, "%d rounds are left after %d windows", left, maxWindows)
}

// Check returns ErrNoFit with the reason if a pass that starts now cannot end
// before the next one is due.
func Check(now time.Time, w configuration.Wave, all []Candidate, domains Domains, duration time.Duration) (time.Time, error) {
	end, err := Forecast(now, w, all, domains, duration)
	if err != nil {
		return end, err
	}
	if due := now.Add(w.Period.Std()); end.After(due) {
		return end, eris.Wrapf(ErrNoFit, "the forecast is %s and the next pass is due %s", end.Format(time.RFC3339), due.Format(time.RFC3339))
	}
	return end, nil
}
