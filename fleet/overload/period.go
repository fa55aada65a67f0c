package overload

import "time"

// maxPeriodGap is the longest time without overload that doesn't end a period: a plan may
// have all work in time for a moment between two arrivals.
const maxPeriodGap = time.Second

// Period is a period of overload. The zero value is none.
type Period struct {
	from, until time.Time
}

// Extend records that there is overload now.
func (p *Period) Extend(now time.Time) {
	if p.Duration(now) == 0 {
		p.from = now
	}
	p.until = now
}

// Duration returns how long the period has lasted, 0 if there is none.
func (p *Period) Duration(now time.Time) time.Duration {
	if p.until.IsZero() || now.Sub(p.until) > maxPeriodGap {
		return 0
	}
	return now.Sub(p.from)
}
