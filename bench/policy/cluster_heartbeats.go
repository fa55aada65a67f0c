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

// Durations and limits of a run, in virtual time.
const (
	warmUp            = 30 * time.Second
	measurementPeriod = 40 * time.Second
	// maxLossWait bounds the wait until the loss of a host is detected.
	maxLossWait = 3 * time.Minute
	// maxHostsWithLoss is the largest cluster in which the loss of a host is measured.
	maxHostsWithLoss = 72
	// tickLength is the step of virtual time; each host sends heartbeats on its own
	// tick.
	tickLength = 50 * time.Millisecond
)

// member is a simulated entry host.
type member struct {
	own      membership.Heartbeat
	table    *membership.Table
	phase    time.Duration
	down     bool
	bytes    int64
	messages int64
	// reachesPlatform is false while the host cannot reach the platform.
	reachesPlatform bool
	// behindSince is when a peer with a higher applied offset was first seen; zero if
	// there is none.
	behindSince time.Time
}

// cluster simulates entry hosts that exchange heartbeats in virtual time.
type cluster struct {
	members   []*member
	byAddress map[string]*member
	overhead  int
	now       time.Time
}

func newCluster(hosts, dataCentres int, seed uint64) (*cluster, error) {
	overhead, err := capacity.ExchangeOverhead()
	if err != nil {
		return nil, err
	}
	c := &cluster{byAddress: make(map[string]*member), overhead: overhead, now: time.Unix(1000, 0)}
	rnd := rand.New(rand.NewPCG(seed, uint64(hosts)))
	for i := range hosts {
		dc := inventory.DataCentreID(fmt.Sprintf("DataCentre-%d", i%dataCentres))
		m := &member{own: capacity.NewHeartbeat(i, dc), phase: time.Duration(rnd.IntN(20)) * tickLength, reachesPlatform: true}
		m.own.Sequence, m.own.Applied, m.own.View = 0, 1, 0
		m.table = membership.NewTable(membership.Config{Name: m.own.Name, DataCentre: dc, Rand: rand.New(rand.NewPCG(seed, rnd.Uint64()))})
		c.members = append(c.members, m)
		c.byAddress[m.own.Address] = m
	}
	for _, m := range c.members {
		c.addSeeds(m, rnd)
	}
	return c, nil
}

// addSeeds adds three random peers to the host's table, like the seed peers in its
// settings.
func (c *cluster) addSeeds(m *member, rnd *rand.Rand) {
	for range 3 {
		o := c.members[rnd.IntN(len(c.members))]
		m.table.Merge(c.now, []membership.Heartbeat{o.own})
	}
}

// run advances virtual time by d and calls observe after each tick.
func (c *cluster) run(d time.Duration, observe func()) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tickLength) {
		for _, m := range c.members {
			if !m.down && time.Duration(c.now.UnixNano())%membership.HeartbeatInterval == m.phase {
				c.round(m)
			}
		}
		observe()
	}
}

func (c *cluster) round(m *member) {
	m.table.RemoveExpired(c.now)
	for _, t := range m.table.Targets(c.now, m.reachesPlatform) {
		c.exchange(m, c.byAddress[t.Address])
	}
}

func (m *member) gossip(now time.Time, to *member) []membership.Heartbeat {
	m.own.Sequence++
	return m.table.Gossip(now, m.own, to.own.DataCentre)
}

// exchange is one heartbeat call; a host that is down does not answer.
func (c *cluster) exchange(m, o *member) {
	sent := m.gossip(c.now, o)
	if o.down {
		m.table.SetReachable(o.own.Address, false)
		return
	}
	o.table.Merge(c.now, sent)
	answer := o.gossip(c.now, m)
	m.table.Merge(c.now, answer)
	m.table.SetReachable(o.own.Address, true)
	bytes := int64(proto.Size(peer.Encode(sent)) + proto.Size(peer.Encode(answer)) + c.overhead)
	m.bytes, o.bytes = m.bytes+bytes, o.bytes+bytes
	m.messages, o.messages = m.messages+2, o.messages+2
}

// falseSuspicions counts the pairs of running hosts of one data centre in which the
// first does not consider the second alive.
func (c *cluster) falseSuspicions() int {
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

// isLossDetected reports whether every running host of the lost host's data centre
// considers it gone.
func (c *cluster) isLossDetected(lost *member) bool {
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

// lossDetectionTime stops a host and returns the time until all other hosts of its data
// centre have detected the loss.
func (c *cluster) lossDetectionTime() time.Duration {
	lost, at := c.members[0], c.now
	for lost.down = true; c.now.Sub(at) < maxLossWait && !c.isLossDetected(lost); {
		c.run(time.Second, func() {})
	}
	return c.now.Sub(at)
}

func measureHeartbeats(o measure.Options) ([]measure.Figure, error) {
	var figures []measure.Figure
	for _, n := range clusterSizes {
		o.Progress(fmt.Sprintf("heartbeats of %d hosts", n.hosts))
		c, err := newCluster(n.hosts, n.dataCentres, o.Seed)
		if err != nil {
			return nil, err
		}
		c.run(warmUp, func() {})
		for _, m := range c.members {
			m.bytes, m.messages = 0, 0
		}
		suspicions := 0
		c.run(measurementPeriod, func() {
			if time.Duration(c.now.UnixNano())%time.Second == 0 {
				suspicions += c.falseSuspicions()
			}
		})
		var bytes, most, messages int64
		for _, m := range c.members {
			bytes, most, messages = bytes+m.bytes, max(most, m.bytes), messages+m.messages
		}
		if n.hosts <= maxHostsWithLoss {
			figures = append(figures, clusterFigure("heartbeats.loss_seen_after", n.hosts, float64(c.lossDetectionTime().Milliseconds()), measure.Milliseconds))
		}
		seconds := measurementPeriod.Seconds()
		figures = append(figures,
			clusterFigure("heartbeats.messages_per_second", n.hosts, float64(messages)/seconds/float64(n.hosts), measure.PerSecond),
			clusterFigure("heartbeats.bytes_per_second", n.hosts, float64(bytes)/seconds/float64(n.hosts), measure.Bytes),
			clusterFigure("heartbeats.most_bytes_per_second", n.hosts, float64(most)/seconds, measure.Bytes),
			clusterFigure("heartbeats.false_suspicions", n.hosts, float64(suspicions), measure.Count))
	}
	return figures, nil
}

// changeOffset is the applied offset of a host that has applied the change.
const changeOffset journal.Offset = 2

// fetchFromPeer catches up from the most advanced peer, like peer.Relay, and reports
// whether the host advanced.
func (c *cluster) fetchFromPeer(m *member) bool {
	best, ahead := membership.MostAdvanced(m.table.Peers(c.now), m.own.Applied)
	if !ahead {
		m.behindSince = time.Time{}
		return false
	}
	if m.behindSince.IsZero() {
		m.behindSince = c.now
	}
	if c.now.Sub(m.behindSince) < peer.RelayDelay {
		return false
	}
	if c.byAddress[best.Address].own.Applied > m.own.Applied {
		m.own.Applied = c.byAddress[best.Address].own.Applied
		return true
	}
	return false
}
