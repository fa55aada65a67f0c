package wave

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/budget"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

func parseTime(clock string) time.Time {
	t, err := time.Parse("2 15:04", clock)
	if err != nil {
		panic(err)
	}
	return t.AddDate(2026, 2, 0)
}

func TestWindowAcrossMidnight(t *testing.T) {
	w := Window{Start: 22 * time.Hour, Length: 6 * time.Hour}
	for clock, test := range map[string]struct {
		fits bool
		next string
	}{
		"2 21:59": {false, "2 22:00"},
		"2 22:00": {true, "2 22:00"},
		"3 03:50": {true, "3 03:50"},
		"3 03:51": {false, "3 03:51"},
		"3 04:00": {false, "3 22:00"},
	} {
		require.Equal(t, test.fits, w.Fits(parseTime(clock), 10*time.Minute), clock)
		require.Equal(t, parseTime(test.next), w.Next(parseTime(clock)), clock)
	}
	require.True(t, Window{Length: 24 * time.Hour}.Fits(parseTime("2 23:59"), time.Hour), "a window of a whole day never closes")
}

// newPool returns n hosts of one pool and data centre, four to a rack, and their budget
// ledger.
func newPool(n int, b configuration.Budget) ([]Candidate, *budget.Ledger) {
	ledger := budget.NewLedger()
	ledger.SetBudget("P", b)
	var candidates []Candidate
	for i := range n {
		place := budget.Place{Pool: "P", DataCentre: "M", Rack: inventory.RackID(fmt.Sprintf("r%d", i/4))}
		ledger.Add(place, budget.Available)
		candidates = append(candidates, Candidate{Host: inventory.HostID(fmt.Sprintf("h%02d", i)), Place: place})
	}
	return candidates, ledger
}

func TestCheck(t *testing.T) {
	oneFifth := configuration.Budget{MaxUnavailable: 200_000}
	tests := map[string]struct {
		hosts  int
		budget configuration.Budget
		window time.Duration
		period time.Duration
		end    string
		want   error
	}{
		"no hosts": {0, oneFifth, 2 * time.Hour, 48 * time.Hour, "2 22:00", nil},
		"ten hosts, two at a time, in one window": {10, oneFifth, 2 * time.Hour, 48 * time.Hour, "2 23:40", nil},
		"continues in the next window":            {20, configuration.Budget{MaxUnavailable: 100_000}, 2 * time.Hour, 48 * time.Hour, "3 23:20", nil},
		"rack limit of one needs four rounds":     {8, configuration.Budget{MaxUnavailable: 1_000_000, MaxPerRack: 1}, 2 * time.Hour, 48 * time.Hour, "2 23:20", nil},
		"one host takes longer than the window":   {10, oneFifth, 10 * time.Minute, 48 * time.Hour, "", ErrDoesNotFit},
		"does not finish within the period":       {20, configuration.Budget{MaxUnavailable: 100_000}, 2 * time.Hour, 24 * time.Hour, "", ErrDoesNotFit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			candidates, ledger := newPool(test.hosts, test.budget)
			w := configuration.Wave{Start: configuration.Duration(22 * time.Hour), Window: configuration.Duration(test.window), Period: configuration.Duration(test.period)}
			end, err := ForecastInPeriod(parseTime("2 22:00"), w, candidates, ledger, 20*time.Minute)
			require.ErrorIs(t, err, test.want)
			if test.want == nil {
				require.Equal(t, parseTime(test.end), end)
			}
		})
	}
}

// TestOrderReachesMinimumRounds guards against an order that leaves several hosts of one
// rack for the end, where the rack's limit allows only one of them per round.
func TestOrderReachesMinimumRounds(t *testing.T) {
	const hostsPerRound = 2
	ledger := budget.NewLedger()
	ledger.SetBudget("P", configuration.Budget{MaxUnavailable: 250_000, MaxPerRack: 1})
	var candidates []Candidate
	for i, rack := range []inventory.RackID{"a", "b", "c", "d", "z", "z", "z", "z"} {
		place := budget.Place{Pool: "P", DataCentre: "M", Rack: rack}
		ledger.Add(place, budget.Available)
		candidates = append(candidates, Candidate{Host: inventory.HostID(fmt.Sprint("h", i)), Place: place})
	}
	minRounds := Rounds(candidates, ledger)
	require.Equal(t, 4, minRounds, "four hosts of one rack, and eight hosts two at a time")
	usedRounds := 0
	for ; len(candidates) > 0; usedRounds++ {
		SortByUrgency(candidates, ledger)
		usedRacks := make(map[inventory.RackID]bool)
		var remaining []Candidate
		for _, c := range candidates {
			if usedRacks[c.Place.Rack] || len(usedRacks) == hostsPerRound {
				remaining = append(remaining, c)
				continue
			}
			usedRacks[c.Place.Rack] = true
		}
		candidates = remaining
	}
	require.Equal(t, minRounds, usedRounds)
}

func TestStartRequiresNextPass(t *testing.T) {
	progress, err := Progress{}.Start(1, parseTime("2 22:00"), parseTime("3 01:00"))
	require.NoError(t, err)
	progress.Rebooted["h"] = struct{}{}
	_, err = progress.Start(1, parseTime("2 22:01"), time.Time{})
	require.ErrorIs(t, err, ErrUnexpectedPass, "the same pass cannot be started twice, as by a second lease holder")
	progress, err = progress.Start(2, parseTime("30 22:00"), time.Time{})
	require.NoError(t, err)
	require.Empty(t, progress.Rebooted)
}
