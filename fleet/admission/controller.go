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

// NewController returns a controller without observations.
func NewController() *Controller {
	return &Controller{meanServerTime: initialServerTime, classServerTime: make(map[inventory.ClassID]time.Duration)}
}

// ObserveServerTime records the server time of an answered request of the class.
func (c *Controller) ObserveServerTime(id inventory.ClassID, d time.Duration) {
	c.meanServerTime += time.Duration(smoothingFactor * float64(d-c.meanServerTime))
	mean := c.MeanServerTime(id)
	c.classServerTime[id] = mean + time.Duration(smoothingFactor*float64(d-mean))
}

// ObserveSent records whether a request that was sent to a server is urgent.
func (c *Controller) ObserveSent(urgent bool) {
	sample := 0.0
	if urgent {
		sample = 1
	}
	c.urgentShare += smoothingFactor * (sample - c.urgentShare)
}

// MeanServerTime returns the average server time of requests of the class.
func (c *Controller) MeanServerTime(id inventory.ClassID) time.Duration {
	if d, ok := c.classServerTime[id]; ok {
		return d
	}
	return initialServerTime
}

// EstimateWait estimates how long the request would wait behind those already in the
// queue, given the number of slots that this host can use.
func (c *Controller) EstimateWait(q *Queue, r Request, slots int) time.Duration {
	own, ok := q.classes[r.Class]
	if !ok {
		return 0
	}
	others := 0.0
	for _, other := range q.classes {
		if other != own && other.level == own.level && other.waiting > 0 {
			others += other.weight
		}
	}
	slotRate := own.weight / (own.weight + others) * float64(max(slots, 1)) / float64(c.meanServerTime)
	ahead := own.requestsAhead(r.Tenant)
	if own.level == levelUrgent {
		return time.Duration(ahead / slotRate)
	}
	return waitBehindBurst(ahead, slotRate*max(1-c.urgentShare, minNonUrgentShare), slotRate)
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
func (c *Controller) Check(q *Queue, r Request, slots int, now time.Time) Refusal {
	wait := c.EstimateWait(q, r, slots)
	switch {
	case !now.Before(r.Deadline):
		return Refusal{Reason: ReasonDeadlineTooNear, RetryAfter: max(wait, MinRetryAfter)}
	case q.Waiting(r.Class) >= MaxWaiting:
		return Refusal{Reason: ReasonQueueFull, RetryAfter: max(wait, MinRetryAfter)}
	case wait > 0 && now.Add(wait+c.MeanServerTime(r.Class)).After(r.Deadline):
		return Refusal{Reason: ReasonDeadlineTooNear, RetryAfter: max(wait, MinRetryAfter)}
	}
	return Refusal{}
}

// LatestSendTime returns the latest time at which the request must be sent to be answered
// by its deadline. At least half of the time between arrival and deadline remains for
// waiting, even if the server time is longer than the other half.
func (c *Controller) LatestSendTime(r Request) time.Time {
	return r.Deadline.Add(-min(c.MeanServerTime(r.Class), r.Deadline.Sub(r.Arrived)/2))
}
