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

// ErrDoesNotFit means that a pass cannot finish in time.
var ErrDoesNotFit = eris.New("the wave does not fit")

// DrainTime is the expected time to drain a host.
const DrainTime = time.Minute

// maxWindows limits how many daily windows a forecast looks ahead.
const maxWindows = 366

// Candidate is a host that has not been rebooted in the current pass.
type Candidate struct {
	Host  inventory.HostID
	Place budget.Place
}

// Domains reports the disruption limits and host counts of failure domains.
type Domains interface {
	Limit(d budget.Domain) int
	Count(d budget.Domain) budget.Count
}

// SortByUrgency sorts the candidates of one pool by the number of rounds that their rack
// or data centre needs, largest first. The domains that take longest then start first, so
// that none of them prolongs the pass when all others are done.
func SortByUrgency(candidates []Candidate, domains Domains) {
	roundsByDomain := remainingRounds(candidates, domains)
	urgency := make(map[inventory.HostID]float64, len(candidates))
	for _, c := range candidates {
		for _, d := range c.Place.Domains()[1:] {
			urgency[c.Host] = max(urgency[c.Host], roundsByDomain[d])
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(urgency[b.Host], urgency[a.Host]), cmp.Compare(a.Host, b.Host))
	})
}

// remainingRounds returns the number of rounds that each domain needs when every round
// uses the domain's whole limit.
func remainingRounds(candidates []Candidate, domains Domains) map[budget.Domain]float64 {
	roundsByDomain := make(map[budget.Domain]float64)
	for _, c := range candidates {
		for _, d := range c.Place.Domains() {
			roundsByDomain[d]++
		}
	}
	for d, n := range roundsByDomain {
		roundsByDomain[d] = n / float64(max(domains.Limit(d), 1))
	}
	return roundsByDomain
}

// Rounds returns the minimum number of reboot rounds for the candidates, which is
// reached when every domain uses its whole limit.
func Rounds(candidates []Candidate, domains Domains) int {
	longest := 0.0
	for _, n := range remainingRounds(candidates, domains) {
		longest = max(longest, n)
	}
	rounds := int(longest)
	if float64(rounds) < longest {
		rounds++
	}
	return rounds
}

// Forecast returns the time at which all candidates are rebooted if every round takes
// the given duration. If no such time is found, it returns ErrDoesNotFit with the reason.
func Forecast(now time.Time, w configuration.Wave, candidates []Candidate, domains Domains, duration time.Duration) (time.Time, error) {
	window := NewWindow(w)
	if duration > window.Length {
		return time.Time{}, eris.Wrapf(ErrDoesNotFit, "one host takes %s and the window is %s long", duration, window.Length)
	}
	remaining := Rounds(candidates, domains)
	if remaining == 0 {
		return now, nil
	}
	at := now
	for range maxWindows {
		at = window.Next(at)
		end, _ := window.Open(at)
		completed := min(remaining, int(end.Sub(at)/duration))
		at = at.Add(time.Duration(completed) * duration)
		if remaining -= completed; remaining == 0 {
			return at, nil
		}
		at = end
	}
	return time.Time{}, eris.Wrapf(ErrDoesNotFit, "%d rounds are left after %d windows", remaining, maxWindows)
}

// ForecastInPeriod returns the forecast for a pass that starts now. It returns
// ErrDoesNotFit with the reason if the pass cannot finish before the next one is due.
func ForecastInPeriod(now time.Time, w configuration.Wave, candidates []Candidate, domains Domains, duration time.Duration) (time.Time, error) {
	end, err := Forecast(now, w, candidates, domains, duration)
	if err != nil {
		return end, err
	}
	if due := now.Add(w.Period.AsDuration()); end.After(due) {
		return end, eris.Wrapf(ErrDoesNotFit, "the forecast is %s and the next pass is due %s", end.Format(time.RFC3339), due.Format(time.RFC3339))
	}
	return end, nil
}
