package leader

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/shedding"
)

// maxDelaysAge is how old the scheduler's delays may be in a heartbeat. They are older only if its rounds
// take long.
const maxDelaysAge = 300 * time.Millisecond

// publishedDelays are the scheduler's delays, as of a time.
type publishedDelays struct {
	at      time.Time
	byQueue map[string]shedding.Delay
}

// currentDelays returns the delays of overloaded queues for a heartbeat, none if they are too old.
func (l *Leader) currentDelays(now time.Time) map[string]shedding.Delay {
	p := l.delays.Load()
	if p == nil {
		return nil
	}
	age := now.Sub(p.at)
	if age < 0 || age > maxDelaysAge {
		return nil
	}
	out := make(map[string]shedding.Delay, len(p.byQueue))
	for name, d := range p.byQueue {
		out[name] = d.Aged(age)
	}
	return out
}
