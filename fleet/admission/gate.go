package admission

import (
	"time"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// Parameters of the wait estimate.
const (
	// smoothingFactor is the weight of a new observation in an exponential moving average.
	smoothingFactor = 0.05
	// minNonUrgentShare is the smallest share of the capacity that the estimate assumes
	// for non-urgent classes.
	minNonUrgentShare = 0.05
	// urgentBurstDuration is how long the current share of urgent requests is assumed to
	// last.
	urgentBurstDuration = 3 * time.Second
	// MinRetryAfter is the shortest delay after which a refused caller is told to retry.
	MinRetryAfter = time.Second
	// initialServerTime is the assumed server time before the first observation.
	initialServerTime = 10 * time.Millisecond
)

// Controller estimates how long a request would wait and refuses one that can't be
// answered in time.
type Controller struct {
	// meanServerTime is the moving average of the server time over all requests, and
	// classServerTime the average per class.
	meanServerTime  time.Duration
	classServerTime map[inventory.ClassID]time.Duration
	// urgentShare is the moving average of the share of urgent requests among those sent.
	urgentShare float64
}

// NewController returns a gate without observations.
func NewController() *Controller {
	return &Controller{meanServerTime: initialServerTime, classServerTime: make(map[inventory.ClassID]time.Duration)}
}

// ObserveServerTime records the server time of an answered request of the class.
func (g *Controller) ObserveServerTime(id inventory.ClassID, d time.Duration) {
	g.meanServerTime += time.Duration(smoothingFactor * float64(d-g.meanServerTime))
	mean := g.MeanServerTime(id)
	g.classServerTime[id] = mean + time.Duration(smoothingFactor*float64(d-mean))
}

// ObserveSent records whether a request that was sent to a server is urgent.
func (g *Controller) ObserveSent(urgent bool) {
	sample := 0.0
	if urgent {
		sample = 1
	}
	g.urgentShare += smoothingFactor * (sample - g.urgentShare)
}

// MeanServerTime returns the average server time of requests of the class.
func (g *Controller) MeanServerTime(id inventory.ClassID) time.Duration {
	if d, ok := g.classServerTime[id]; ok {
		return d
	}
	return initialServerTime
}

// EstimateWait estimates how long the request would wait behind those already in the queue,
// given the number of slots that this host can use.
func (g *Controller) EstimateWait(q *Queue, r Request, slots int) time.Duration {
	own, ok := q.classes[r.Class]
	if !ok {
		return 0
	}
	others := 0.0
	for _, c := range q.classes {
		if c != own && c.level == own.level && c.waiting > 0 {
			others += c.weight
		}
	}
	slotRate := own.weight / (own.weight + others) * float64(max(slots, 1)) / float64(g.meanServerTime)
	ahead := own.requestsAhead(r.Tenant)
	if own.level == levelUrgent {
		return time.Duration(ahead / slotRate)
	}
	return waitBehindBurst(ahead, slotRate*max(1-g.urgentShare, minNonUrgentShare), slotRate)
}

// waitBehindBurst returns the wait behind the number of requests ahead if they are
// sent at burstRate during a burst of urgent requests and at normalRate afterwards.
func waitBehindBurst(ahead, burstRate, normalRate float64) time.Duration {
	sentInBurst := burstRate * float64(urgentBurstDuration)
	if ahead <= sentInBurst {
		return time.Duration(ahead / burstRate)
	}
	return urgentBurstDuration + time.Duration((ahead-sentInBurst)/normalRate)
}

// Check returns a refusal with a reason if the request can't be answered by its deadline
// or the queue of its class is full. A request that doesn't have to wait is not refused
// because of its estimated server time, so that the estimates keep being updated.
func (g *Controller) Check(q *Queue, r Request, slots int, now time.Time) Refusal {
	wait := g.EstimateWait(q, r, slots)
	switch {
	case !now.Before(r.Deadline):
		return Refusal{Reason: ReasonDeadlineTooNear, RetryAfter: max(wait, MinRetryAfter)}
	case q.Waiting(r.Class) >= MaxWaiting:
		return Refusal{Reason: ReasonQueueFull, RetryAfter: max(wait, MinRetryAfter)}
	case wait > 0 && now.Add(wait+g.MeanServerTime(r.Class)).After(r.Deadline):
		return Refusal{Reason: ReasonDeadlineTooNear, RetryAfter: max(wait, MinRetryAfter)}
	}
	return Refusal{}
}

// LatestSendTime returns the latest time at which the request must be sent to be answered
// by its deadline. At least half of the time between arrival and deadline remains for
// waiting, even if the server time is longer than the other half.
func (g *Controller) LatestSendTime(r Request) time.Time {
	return r.Deadline.Add(-min(g.MeanServerTime(r.Class), r.Deadline.Sub(r.Arrived)/2))
}
