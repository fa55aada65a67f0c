package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/godwitcross/godwitcross/bench/capacity"
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/entry/peer"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// Shape of a run, in virtual time.
const (
	warmUp  = 30 * time.Second
	running = 40 * time.Second
	// longestLoss is how long a loss is waited for.
	longestLoss = 3 * time.Minute
	// lossUpTo is the largest number of hosts at which a loss is brought about.
	lossUpTo = 72
	// tick is the step of virtual time; each host's round falls on its own tick.
	tick = 50 * time.Millisecond
)

// member is one entry host of a run.
type member struct {
	own      membership.Heartbeat
	table    *membership.Table
	phase    time.Duration
	down     bool
	bytes    int64
	messages int64
	// reaches is false while the host does not reach the platform.
	reaches bool
	// behind is since when a peer was seen ahead.
	behind time.Time
}

// crowd is entry hosts that exchange heartbeats in virtual time.
type crowd struct {
	members  []*member
	by       map[string]*member
	overhead int
	now      time.Time
}

func newCrowd(hosts, dataCentres int, seed uint64) (*crowd, error) {
	overhead, err := capacity.ExchangeOverhead()
	if err != nil {
		return nil, err
	}
	c := &crowd{by: make(map[string]*member), overhead: overhead, now: time.Unix(1000, 0)}
	rnd := rand.New(rand.NewPCG(seed, uint64(hosts)))
	for i := range hosts {
		dc := inventory.DataCentreID(fmt.Sprintf("DataCentre-%d", i%dataCentres))
		m := &member{own: capacity.Beat(i, dc), phase: time.Duration(rnd.IntN(20)) * tick, reaches: true}
		m.own.Sequence, m.own.Applied, m.own.View = 0, 1, 0
		m.table = membership.NewTable(membership.Config{Name: m.own.Name, DataCentre: dc, Rand: rand.New(rand.NewPCG(seed, rnd.Uint64()))})
		c.members = append(c.members, m)
		c.by[m.own.Address] = m
	}
	for _, m := range c.members {
		c.introduce(m, rnd)
	}
	return c, nil
}

// introduce lets a host hear of three others, as its settings do.
func (c *crowd) introduce(m *member, rnd *rand.Rand) {
	for range 3 {
		o := c.members[rnd.IntN(len(c.members))]
		m.table.Merge(c.now, []membership.Heartbeat{o.own})
	}
}

// run lets virtual time pass and calls look after each tick.
func (c *crowd) run(d time.Duration, look func()) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for _, m := range c.members {
			if !m.down && time.Duration(c.now.UnixNano())%membership.HeartbeatInterval == m.phase {
				c.round(m)
			}
		}
		look()
	}
}

func (c *crowd) round(m *member) {
	m.table.RemoveExpired(c.now)
	for _, t := range m.table.Targets(c.now, m.reaches) {
		c.exchange(m, c.by[t.Address])
	}
}

func (m *member) tell(now time.Time, to *member) []membership.Heartbeat {
	m.own.Sequence++
	return m.table.Gossip(now, m.own, to.own.DataCentre)
}

// exchange is one call; a host that is down gives no answer.
func (c *crowd) exchange(m, o *member) {
	told := m.tell(c.now, o)
	if o.down {
		m.table.SetReachable(o.own.Address, false)
		return
	}
	o.table.Merge(c.now, told)
	answer := o.tell(c.now, m)
	m.table.Merge(c.now, answer)
	m.table.SetReachable(o.own.Address, true)
	bytes := int64(proto.Size(peer.Encode(told)) + proto.Size(peer.Encode(answer)) + c.overhead)
	m.bytes, o.bytes = m.bytes+bytes, o.bytes+bytes
	m.messages, o.messages = m.messages+2, o.messages+2
}

// unseen counts pairs of running hosts of one data centre of which the first
// does not see the second alive.
func (c *crowd) unseen() int {
	n := 0
	for _, m := range c.members {
		alive := make(map[inventory.EntryID]bool)
		for _, p := range m.table.Peers(c.now) {
			alive[p.Name] = p.State == membership.Alive
		}
		for _, o := range c.members {
			if !m.down && !o.down && o != m && o.own.DataCentre == m.own.DataCentre && !alive[o.own.Name] {
				n++
			}
		}
	}
	return n
}

// seesGone reports whether every running host of the data centre knows that the
// host is gone.
func (c *crowd) seesGone(lost *member) bool {
	for _, m := range c.members {
		if m.down || m.own.DataCentre != lost.own.DataCentre {
			continue
		}
		for _, p := range m.table.Peers(c.now) {
			if p.Name == lost.own.Name && p.State != membership.Gone {
				return false
			}
		}
	}
	return true
}

// loss stops a host and returns the time until all others of its data centre know.
func (c *crowd) loss() time.Duration {
	lost, at := c.members[0], c.now
	for lost.down = true; c.now.Sub(at) < longestLoss && !c.seesGone(lost); {
		c.run(time.Second, func() {})
	}
	return c.now.Sub(at)
}

func measureHeartbeats(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, n := range crowds {
		o.Progress(fmt.Sprintf("heartbeats of %d hosts", n.hosts))
		c, err := newCrowd(n.hosts, n.dataCentres, o.Seed)
		if err != nil {
			return nil, err
		}
		c.run(warmUp, func() {})
		for _, m := range c.members {
			m.bytes, m.messages = 0, 0
		}
		suspicions := 0
		c.run(running, func() {
			if time.Duration(c.now.UnixNano())%time.Second == 0 {
				suspicions += c.unseen()
			}
		})
		var bytes, most, messages int64
		for _, m := range c.members {
			bytes, most, messages = bytes+m.bytes, max(most, m.bytes), messages+m.messages
		}
		if n.hosts <= lossUpTo {
			figures = append(figures, at("heartbeats.loss_seen_after", n.hosts, float64(c.loss().Milliseconds()), measure.Milliseconds))
		}
		seconds := running.Seconds()
		figures = append(figures,
			at("heartbeats.messages_per_second", n.hosts, float64(messages)/seconds/float64(n.hosts), measure.PerSecond),
			at("heartbeats.bytes_per_second", n.hosts, float64(bytes)/seconds/float64(n.hosts), measure.Bytes),
			at("heartbeats.most_bytes_per_second", n.hosts, float64(most)/seconds, measure.Bytes),
			at("heartbeats.false_suspicions", n.hosts, float64(suspicions), measure.Count))
	}
	return figures, nil
}

// changed is the offset that is applied after the change of a run.
const changed journal.Offset = 2

// relay fetches from the best peer, as peer.Relay does.
func (c *crowd) relay(m *member) bool {
	best, ahead := membership.MostAdvanced(m.table.Peers(c.now), m.own.Applied)
	if !ahead {
		m.behind = time.Time{}
		return false
	}
	if m.behind.IsZero() {
		m.behind = c.now
	}
	if c.now.Sub(m.behind) < peer.RelayDelay {
		return false
	}
	if c.by[best.Address].own.Applied > m.own.Applied {
		m.own.Applied = c.by[best.Address].own.Applied
		return true
	}
	return false
}
