package bill

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// keptPoints is how many reports of a worker are kept open, so that late ones
// still find their place.
const keptPoints = 16

// Interval is a time for which a host belonged to one owner's pool.
type Interval struct {
	Owner inventory.OwnerID
	Pool  inventory.PoolID
	Cores inventory.Cores
	From  Moment
	// To is 0 while the interval lasts.
	To Moment
}

// point is a value of a worker's counter.
type point struct {
	Boot int
	At   Moment
	Used CoreTime
}

// compare puts points in order.
func (p point) compare(o point) int {
	return cmp.Or(cmp.Compare(p.Boot, o.Boot), cmp.Compare(p.At, o.At))
}

// since returns what was used from o to p.
func (p point) since(o point) CoreTime {
	if p.Boot != o.Boot {
		return p.Used
	}
	return p.Used - o.Used
}

// host is the account of one host.
type host struct {
	// Intervals follow each other without gap or overlap; those that ended
	// before Settled are dropped. The last one may be open.
	Intervals []Interval
	// Points are the open reports in order. Everything before the first is settled.
	Points []point
	// Settled is up to where host time and use are added up; Closed is the end of
	// the last closed period. Settled is at least Closed.
	Settled, Closed Moment
	// Shares are what is added up since Closed.
	Shares shares
}

func newHost() *host {
	return &host{Shares: make(shares)}
}

// open returns the interval that lasts; false if there is none.
func (h *host) open() (Interval, bool) {
	if len(h.Intervals) == 0 {
		return Interval{}, false
	}
	last := h.Intervals[len(h.Intervals)-1]
	return last, last.To == 0
}

// transfer ends the open interval and begins the next at the same moment. A
// moment that is settled already is moved up to the end of what is settled.
func (h *host) transfer(t Transfer) {
	at := max(t.At, h.Settled)
	if last, ok := h.open(); ok {
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

// insert adds a report. It returns why it is refused, or an empty text.
func (h *host) insert(p point) string {
	i, found := slices.BinarySearchFunc(h.Points, p, point.compare)
	if found {
		if h.Points[i].Used != p.Used {
			return "another report for the same moment was counted before"
		}
		return ""
	}
	if i == 0 && len(h.Points) > 0 {
		// A later report of the same counter has counted it.
		return ""
	}
	if why := h.checkBetween(i, p); why != "" {
		return why
	}
	h.Points = slices.Insert(h.Points, i, p)
	return ""
}

// checkBetween checks a report against its neighbours.
func (h *host) checkBetween(i int, p point) string {
	if i > 0 {
		if why := h.checkStep(h.Points[i-1], p); why != "" {
			return why
		}
	}
	if i < len(h.Points) {
		return h.checkStep(p, h.Points[i])
	}
	return ""
}

func (h *host) checkStep(a, b point) string {
	used := b.since(a)
	switch {
	case b.At <= a.At:
		return "a later restart has no later time"
	case used < 0:
		return "the counter fell"
	case used > h.most(b.At-a.At):
		return "more than the host has"
	}
	return ""
}

// mostSlack allows for reports whose times are not those of their counters.
const mostSlack = Moment(2000)

// most returns the most that can be used in a span.
func (h *host) most(span Moment) CoreTime {
	cores := inventory.Cores(0)
	for _, i := range h.Intervals {
		cores = max(cores, i.Cores)
	}
	return capacity(cores, span+mostSlack)
}

// settle adds up everything before the oldest points while too many are open.
func (h *host) settle() {
	for len(h.Points) > keptPoints {
		h.settleTo(h.Points[1].At, h.Shares)
		h.Points = h.Points[1:]
	}
}

// settleTo adds up to a moment that is at least Settled.
func (h *host) settleTo(to Moment, into shares) {
	h.addUp(to, into)
	h.Settled = max(h.Settled, to)
	h.Intervals = slices.DeleteFunc(h.Intervals, func(i Interval) bool { return i.To != 0 && i.To <= h.Settled && i.To <= h.firstPoint() })
}

// close adds up to the end of a period and begins the next. A span of use that
// reaches beyond the end is cut in two there.
func (h *host) close(to Moment) shares {
	done := make(shares)
	for k, v := range h.Shares {
		done.add(k, v)
	}
	h.settleTo(to, done)
	h.Shares, h.Closed = make(shares), to
	i, _ := slices.BinarySearchFunc(h.Points, to, func(p point, m Moment) int { return cmp.Compare(p.At, m) })
	if i == 0 {
		return done
	}
	last := h.Points[i-1]
	if i < len(h.Points) && h.Points[i].Boot == last.Boot {
		next := h.Points[i]
		last = point{Boot: last.Boot, At: to, Used: last.Used + part(next.since(last), last.At, next.At, last.At, to)}
	}
	h.Points = append([]point{last}, h.Points[i:]...)
	return done
}

// firstPoint is the moment from which use is not added up yet; 0 before the
// first report, which may be of any age.
func (h *host) firstPoint() Moment {
	if len(h.Points) == 0 {
		return 0
	}
	return h.Points[0].At
}

// addUp adds host time from Settled on, and the use of the open points, up to a
// moment. Use before Closed counts as late.
func (h *host) addUp(to Moment, into shares) {
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

// usedBetween returns what the open points say of a span.
func (h *host) usedBetween(from, to Moment) CoreTime {
	used := CoreTime(0)
	for n := 1; n < len(h.Points); n++ {
		a, b := h.Points[n-1], h.Points[n]
		used += part(b.since(a), a.At, b.At, from, to)
	}
	return used
}

// part returns the share of an amount, spread evenly from a to b, that falls
// between from and to. The shares of adjoining spans add up to the amount.
func part(amount CoreTime, a, b, from, to Moment) CoreTime {
	from, to = max(from, a), min(to, b)
	if to <= from {
		return 0
	}
	return upTo(amount, to-a, b-a) - upTo(amount, from-a, b-a)
}

// upTo returns amount times n divided by of, rounded down.
func upTo(amount CoreTime, n, of Moment) CoreTime {
	high, low := bits.Mul64(uint64(amount), uint64(n))
	q, _ := bits.Div64(high, low, uint64(of))
	return CoreTime(q)
}
