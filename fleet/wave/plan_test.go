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

func at(clock string) time.Time {
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
		require.Equal(t, test.fits, w.Fits(at(clock), 10*time.Minute), clock)
		require.Equal(t, at(test.next), w.Next(at(clock)), clock)
	}
	require.True(t, Window{Length: 24 * time.Hour}.Fits(at("2 23:59"), time.Hour), "a whole day never closes")
}

// pool of n hosts, four to a rack, in one data centre.
func poolOf(n int, b configuration.Budget) ([]Candidate, *budget.Ledger) {
	l := budget.NewLedger()
	l.SetBudget("P", b)
	var all []Candidate
	for i := range n {
		p := budget.Place{Pool: "P", DataCentre: "M", Rack: inventory.RackID(fmt.Sprintf("r%d", i/4))}
		l.Add(p, budget.Available)
		all = append(all, Candidate{Host: inventory.HostID(fmt.Sprintf("h%02d", i)), Place: p})
	}
	return all, l
}

func TestForecastSaysWhatDoesNotFit(t *testing.T) {
	wide := configuration.Budget{MaxUnavailable: 200_000}
	tests := map[string]struct {
		hosts  int
		budget configuration.Budget
		window time.Duration
		period time.Duration
		end    string
		want   error
	}{
		"no host":                            {0, wide, 2 * time.Hour, 48 * time.Hour, "2 22:00", nil},
		"ten hosts, two at a time":           {10, wide, 2 * time.Hour, 48 * time.Hour, "2 23:40", nil},
		"it goes on in the next window":      {20, configuration.Budget{MaxUnavailable: 100_000}, 2 * time.Hour, 48 * time.Hour, "3 23:20", nil},
		"one rack needs four rounds":         {8, configuration.Budget{MaxUnavailable: 1_000_000, MaxPerRack: 1}, 2 * time.Hour, 48 * time.Hour, "2 23:20", nil},
		"one host is longer than the window": {10, wide, 10 * time.Minute, 48 * time.Hour, "", ErrNoFit},
		"beyond the period":                  {20, configuration.Budget{MaxUnavailable: 100_000}, 2 * time.Hour, 24 * time.Hour, "", ErrNoFit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all, l := poolOf(test.hosts, test.budget)
			w := configuration.Wave{Start: configuration.Duration(22 * time.Hour), Window: configuration.Duration(test.window), Period: configuration.Duration(test.period)}
			end, err := Check(at("2 22:00"), w, all, l, 20*time.Minute)
			require.ErrorIs(t, err, test.want)
			if test.want == nil {
				require.Equal(t, at(test.end), end)
			}
		})
	}
}

func TestOrderLeavesNoRackForTheEnd(t *testing.T) {
	const atOnce = 2
	l := budget.NewLedger()
	l.SetBudget("P", configuration.Budget{MaxUnavailable: 250_000, MaxPerRack: 1})
	var all []Candidate
	for i, rack := range []inventory.RackID{"a", "b", "c", "d", "z", "z", "z", "z"} {
		p := budget.Place{Pool: "P", DataCentre: "M", Rack: rack}
		l.Add(p, budget.Available)
		all = append(all, Candidate{Host: inventory.HostID(fmt.Sprint("h", i)), Place: p})
	}
	rounds := Rounds(all, l)
	require.Equal(t, 4, rounds, "four hosts of one rack, and eight hosts at two")
	took := 0
	for ; len(all) > 0; took++ {
		Order(all, l)
		used := make(map[inventory.RackID]bool)
		var left []Candidate
		for _, c := range all {
			if used[c.Place.Rack] || len(used) == atOnce {
				left = append(left, c)
				continue
			}
			used[c.Place.Rack] = true
		}
		all = left
	}
	require.Equal(t, rounds, took)
}

func TestAPassFollowsTheLast(t *testing.T) {
	p, err := Progress{}.Start(1, at("2 22:00"), at("3 01:00"))
	require.NoError(t, err)
	p.Rebooted["h"] = struct{}{}
	_, err = p.Start(1, at("2 22:01"), time.Time{})
	require.ErrorIs(t, err, ErrPass, "a second holder starts the pass again")
	p, err = p.Start(2, at("30 22:00"), time.Time{})
	require.NoError(t, err)
	require.Empty(t, p.Rebooted)
}
