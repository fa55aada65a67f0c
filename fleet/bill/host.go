package bill

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// maxOpenSamples is the number of samples of a worker that are not settled yet, so that
// late reports can still be inserted in order.
const maxOpenSamples = 16

// Interval is a period in which a host belongs to one pool of an owner.
type Interval struct {
	Owner inventory.OwnerID
	Pool  inventory.PoolID
	Cores inventory.Millicores
	From  Moment
	// To is 0 while the interval is open.
	To Moment
}

// sample is a value of a worker's core time counter.
type sample struct {
	Boot int
	At   Moment
	Used CoreTime
}

// compare orders samples by restart and time.
func (s sample) compare(o sample) int {
	return cmp.Or(cmp.Compare(s.Boot, o.Boot), cmp.Compare(s.At, o.At))
}

// usedSince returns the core time used between the samples o and s. A counter starts again
// from 0 after a restart.
func (s sample) usedSince(o sample) CoreTime {
	if s.Boot != o.Boot {
		return s.Used
	}
	return s.Used - o.Used
}

// host is the account of one host.
type host struct {
	// Intervals are in order and don't overlap. Intervals that ended before Settled and
	// the first sample are dropped. The last one may be open.
	Intervals []Interval
	// Samples are the open samples, in order. All use before the first is settled.
	Samples []sample
	// Settled is the time up to which host time and use are accumulated in Shares. Closed
	// is the end of the last closed period. Settled is at least Closed.
	Settled, Closed Moment
	// Shares are the amounts accumulated since Closed.
	Shares shares
}

func newHost() *host {
	return &host{Shares: make(shares)}
}

// openInterval returns the open interval, and false if there is none.
func (h *host) openInterval() (Interval, bool) {
	if len(h.Intervals) == 0 {
		return Interval{}, false
	}
	last := h.Intervals[len(h.Intervals)-1]
	return last, last.To == 0
}

// transfer ends the open interval and starts the next one at the same time. A time that
// is already settled is moved up to Settled.
func (h *host) transfer(t Transfer) {
	at := max(t.At, h.Settled)
	if last, ok := h.openInterval(); ok {
		at = max(at, last.From)
		h.Intervals[len(h.Intervals)-1].To = at
	} else if len(h.Intervals) > 0 {
		at = max(at, last.To)
	}
	if t.Owner == "" {
		return
	}
	h.Intervals = append(h.Intervals, Interval{Owner: t.Owner, Pool: t.Pool, Cores: t.Cores, From: at})
}

// insert adds the sample of a report. It returns the reason why the report is refused,
// or an empty string.
func (h *host) insert(s sample) string {
	i, found := slices.BinarySearchFunc(h.Samples, s, sample.compare)
	if found {
		if h.Samples[i].Used != s.Used {
			return "another report for the same moment was counted before"
		}
		return ""
	}
	if i == 0 && len(h.Samples) > 0 {
		// A later report of the same counter already includes it.
		return ""
	}
	if reason := h.checkNeighbours(i, s); reason != "" {
		return reason
	}
	h.Samples = slices.Insert(h.Samples, i, s)
	return ""
}

// checkNeighbours checks a sample against the samples before and after its position.
func (h *host) checkNeighbours(i int, s sample) string {
	if i > 0 {
		if reason := h.checkPair(h.Samples[i-1], s); reason != "" {
			return reason
		}
	}
	if i < len(h.Samples) {
		return h.checkPair(s, h.Samples[i])
	}
	return ""
}

func (h *host) checkPair(a, b sample) string {
	used := b.usedSince(a)
	switch {
	case b.At <= a.At:
		return "a later restart has no later time"
	case used < 0:
		return "the counter fell"
	case used > h.maxUsed(b.At-a.At):
		return "more than the host has"
	}
	return ""
}

// timestampSlack allows for the difference between the time of a report and the time at
// which its counter was read.
const timestampSlack = Moment(2000)

// maxUsed returns the maximum core time that the host can use in a span.
func (h *host) maxUsed(span Moment) CoreTime {
	cores := inventory.Millicores(0)
	for _, i := range h.Intervals {
		cores = max(cores, i.Cores)
	}
	return capacity(cores, span+timestampSlack)
}

// settle accumulates up to the second sample and drops the first, while more than
// maxOpenSamples are open.
func (h *host) settle() {
	for len(h.Samples) > maxOpenSamples {
		h.settleTo(h.Samples[1].At, h.Shares)
		h.Samples = h.Samples[1:]
	}
}

// settleTo accumulates up to a time that is not before Settled.
func (h *host) settleTo(to Moment, into shares) {
	h.accumulate(to, into)
	h.Settled = max(h.Settled, to)
	h.Intervals = slices.DeleteFunc(h.Intervals, func(i Interval) bool { return i.To != 0 && i.To <= h.Settled && i.To <= h.firstSampleTime() })
}

// close accumulates up to the end of a period and starts the next one. Use between a
// sample before the end and one after it is split at the end, by an interpolated sample.
func (h *host) close(to Moment) shares {
	done := make(shares)
	for k, v := range h.Shares {
		done.add(k, v)
	}
	h.settleTo(to, done)
	h.Shares, h.Closed = make(shares), to
	i, _ := slices.BinarySearchFunc(h.Samples, to, func(s sample, m Moment) int { return cmp.Compare(s.At, m) })
	if i == 0 {
		return done
	}
	last := h.Samples[i-1]
	if i < len(h.Samples) && h.Samples[i].Boot == last.Boot {
		next := h.Samples[i]
		last = sample{Boot: last.Boot, At: to, Used: last.Used + prorate(next.usedSince(last), last.At, next.At, last.At, to)}
	}
	h.Samples = append([]sample{last}, h.Samples[i:]...)
	return done
}

// firstSampleTime returns the time from which use is not settled. It is 0 before the first
// report, because that report may be of any age.
func (h *host) firstSampleTime() Moment {
	if len(h.Samples) == 0 {
		return 0
	}
	return h.Samples[0].At
}

// accumulate adds to the shares the host time from Settled and the use of the open
// samples, up to a time. Use before Closed is counted as late.
func (h *host) accumulate(to Moment, into shares) {
	for _, i := range h.Intervals {
		end := to
		if i.To != 0 {
			end = min(end, i.To)
		}
		h.addInterval(i, end, into)
	}
}

func (h *host) addInterval(i Interval, end Moment, into shares) {
	s := Share{}
	if from := max(i.From, h.Settled); end > from {
		s.HostTime = HostTime(end - from)
		s.Capacity = capacity(i.Cores, end-from)
		s.Used = min(h.usedBetween(from, end), s.Capacity)
		s.Idle = s.Capacity - s.Used
	}
	if late := min(end, h.Closed); late > i.From {
		s.Late = h.usedBetween(i.From, late)
	}
	if s != (Share{}) {
		into.add(poolKey{i.Owner, i.Pool}, s)
	}
}

// usedBetween returns the use in a span according to the open samples.
func (h *host) usedBetween(from, to Moment) CoreTime {
	used := CoreTime(0)
	for n := 1; n < len(h.Samples); n++ {
		a, b := h.Samples[n-1], h.Samples[n]
		used += prorate(b.usedSince(a), a.At, b.At, from, to)
	}
	return used
}

// prorate returns the part of an amount, spread evenly from a to b, that falls between
// from and to. The parts of adjacent spans add up to the amount exactly.
func prorate(amount CoreTime, a, b, from, to Moment) CoreTime {
	from, to = max(from, a), min(to, b)
	if to <= from {
		return 0
	}
	return mulDiv(amount, to-a, b-a) - mulDiv(amount, from-a, b-a)
}

// mulDiv returns amount*n/of, rounded down, with a product of 128 bits.
func mulDiv(amount CoreTime, n, of Moment) CoreTime {
	high, low := bits.Mul64(uint64(amount), uint64(n))
	q, _ := bits.Div64(high, low, uint64(of))
	return CoreTime(q)
}
