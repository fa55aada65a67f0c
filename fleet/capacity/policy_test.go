package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var midnight = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

func TestPeakOfWindowDropsOldPeaks(t *testing.T) {
	p := NewPeakOfWindow(time.Minute)
	for _, step := range []struct {
		second     int
		peak, want Hosts
	}{{0, 5, 5}, {10, 9, 9}, {20, 1, 9}, {60, 7, 9}, {71, 1, 7}, {121, 1, 1}} {
		got := p.TargetHosts(midnight.Add(time.Duration(step.second)*time.Second), Observation{PeakDemand: step.peak})
		require.Equal(t, step.want, got, "second %d", step.second)
	}
}

func newForecast() *Forecast {
	return NewForecast(ForecastConfig{
		Slot: time.Hour, HistoryDays: 3, Quantile: 1, LeadTime: 10 * time.Minute,
		RecentWindow: 5 * time.Minute, ScaleDownDelay: 15 * time.Minute, MinScaleDown: 2,
	})
}

func TestForecastScalesUpBeforeBusyHour(t *testing.T) {
	f := newForecast()
	held := Hosts(1)
	at := map[string]Hosts{}
	for m := 0; m < 2*24*60; m++ {
		now := midnight.Add(time.Duration(m) * time.Minute)
		peak := Hosts(1)
		if now.Hour() == 8 {
			peak = 10
		}
		held = f.TargetHosts(now, Observation{PeakDemand: peak, CurrentHosts: held})
		at[now.Format("2 15:04")] = held
	}
	require.Equal(t, Hosts(1), at["2 07:55"], "no history on the first day")
	require.Equal(t, Hosts(10), at["2 08:00"])
	require.Equal(t, Hosts(1), at["3 07:49"])
	require.Equal(t, Hosts(10), at["3 07:50"], "added ahead of the busy hour on the second day")
	require.Equal(t, Hosts(1), at["3 09:40"])
}

func TestForecastDelaysScaleDown(t *testing.T) {
	tests := map[string]struct {
		peaks func(minute int) Hosts
		least Hosts
	}{
		"a drop by one host releases none":      {func(m int) Hosts { return 10 - Hosts(min(m, 1)) }, 10},
		"a peak within the delay releases none": {func(m int) Hosts { return Hosts(1 + 9*((m+1)%12/11)) }, 10},
		"a lasting drop releases excess hosts":  {func(m int) Hosts { return Hosts(max(10-9*m, 1)) }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForecast()
			held, least := Hosts(10), Hosts(10)
			for m := range 59 {
				held = f.TargetHosts(midnight.Add(time.Duration(m)*time.Minute), Observation{PeakDemand: test.peaks(m), CurrentHosts: held})
				least = min(least, held)
			}
			require.Equal(t, test.least, least)
		})
	}
}
