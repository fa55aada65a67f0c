package policy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/godwitcross/godwitcross/bench/capacity"
	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/entry/peer"
	"github.com/godwitcross/godwitcross/entry/peer/wire"
	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// changeBytes is the size of the record of one change, see fold.change_bytes in
// the measurements of capacity.
const changeBytes = 399

// Losses at which the interval broadcast is counted.
const (
	lostPerThousand = 10
	broadcasts      = 1000
)

// measurePropagation counts what one change costs a host by each of three ways,
// and how long a host without the platform waits for it.
func measurePropagation(o measure.Options) ([]measure.Figure, error) {
	overhead, err := capacity.ExchangeOverhead()
	if err != nil {
		return nil, err
	}
	var figures []measure.Figure
	for _, n := range crowds {
		o.Progress(fmt.Sprintf("a change at %d hosts", n.hosts))
		waited, fetched, err := relayedChange(n.hosts, n.dataCentres, o.Seed)
		if err != nil {
			return nil, err
		}
		b := broadcast(n.hosts, o.Seed)
		figures = append(figures,
			at("propagation.direct_messages", n.hosts, 2, measure.Count),
			at("propagation.direct_bytes", n.hosts, float64(directBytes()+overhead), measure.Bytes),
			at("propagation.relay_messages", n.hosts, 2*fetched, measure.Count),
			at("propagation.relay_bytes", n.hosts, fetched*float64(relayBytes()+overhead), measure.Bytes),
			at("propagation.relay_slowest", n.hosts, float64(waited.Milliseconds()), measure.Milliseconds),
			at("propagation.broadcast_messages", n.hosts, b.messages, measure.Count),
			at("propagation.broadcast_bytes", n.hosts, b.messages*float64(changeBytes+overhead), measure.Bytes),
			at("propagation.broadcast_depth", n.hosts, float64(b.depth), measure.Count),
			at("propagation.broadcast_most_sent", n.hosts, float64(b.mostSent), measure.Count),
			at("propagation.broadcast_missed", n.hosts, b.missed, measure.Ratio))
	}
	return figures, nil
}

// directBytes is the answer of the log with one change.
func directBytes() int {
	b, _ := json.Marshal(platform.Batch{Records: []json.RawMessage{record(changeBytes)}})
	return len(b)
}

func record(n int) json.RawMessage {
	b := make([]byte, n)
	for i := range b {
		b[i] = '1'
	}
	return b
}

// relayBytes is a fetch of one change from a peer.
func relayBytes() int {
	return proto.Size(&wire.ReadRecordsRequest{From: 1 << 20, History: 1, Limit: 500}) +
		proto.Size(&wire.ReadRecordsResponse{First: 1 << 20, End: 1 << 20, Records: [][]byte{record(changeBytes)}})
}

// relayedChange cuts one data centre off from the platform, lets a change come,
// and returns how long the slowest host of that data centre waits and how often
// each of its hosts fetches.
func relayedChange(hosts, dataCentres int, seed uint64) (time.Duration, float64, error) {
	c, err := newCrowd(hosts, dataCentres, seed)
	if err != nil {
		return 0, 0, err
	}
	cutOff := c.members[0].own.DataCentre
	for _, m := range c.members {
		m.reaches = m.own.DataCentre != cutOff
	}
	c.run(warmUp, func() {})
	began, slowest := c.now, time.Duration(0)
	waiting, fetched := 0, 0
	for _, m := range c.members {
		if m.reaches {
			m.own.Applied = changed
		} else {
			waiting++
		}
	}
	cut := waiting
	look := func() {
		for _, m := range c.members {
			if m.own.Applied >= changed || time.Duration(c.now.UnixNano())%peer.RelayInterval != m.phase%peer.RelayInterval || !c.relay(m) {
				continue
			}
			fetched++
			waiting--
			slowest = c.now.Sub(began)
		}
	}
	for waiting > 0 && c.now.Sub(began) < running {
		c.run(time.Second, look)
	}
	if waiting > 0 {
		slowest = running
	}
	return slowest, float64(fetched) / float64(cut), nil
}

// broadcastCount is what the interval broadcast cost.
type broadcastCount struct {
	// messages is the mean number that a host receives of one change.
	messages float64
	// depth is the longest way in messages, mostSent the most that one host sends.
	depth, mostSent int
	// missed is the share of hosts that a change does not reach when messages
	// are lost.
	missed float64
}

// broadcast counts the interval broadcast of the paper on multicast in
// DKS(N, k, f) with k = 2 and correct tables: whoever is responsible for an
// interval halves it, hands the far half to its first host, and goes on with the
// near half.
func broadcast(hosts int, seed uint64) broadcastCount {
	rnd := rand.New(rand.NewPCG(seed, uint64(hosts)))
	var count broadcastCount
	sent, missed := 0, 0
	var cover func(from, to, depth int, reached bool)
	cover = func(from, to, depth int, reached bool) {
		own := 0
		for to-from > 1 {
			middle := (from + to) / 2
			arrives := reached && rnd.IntN(1000) >= lostPerThousand
			if reached {
				sent, own = sent+1, own+1
			}
			cover(middle, to, depth+1, arrives)
			to = middle
		}
		if !reached {
			missed++
		}
		count.depth, count.mostSent = max(count.depth, depth), max(count.mostSent, own)
	}
	for range broadcasts {
		cover(0, hosts, 0, true)
	}
	count.messages = float64(sent) / float64(broadcasts*hosts)
	count.missed = float64(missed) / float64(broadcasts*hosts)
	return count
}

// measureReturn counts the calls that hosts make at a log that was away for a
// minute: the most in one second of the outage, once the pauses have grown.
func measureReturn(o measure.Options) ([]measure.Figure, error) {
	const streams, outage, grown = 4, time.Minute, 20 * time.Second
	var figures []measure.Figure
	for _, n := range crowds {
		calls := make(map[time.Duration]int)
		for lane := range n.hosts * streams {
			rnd := rand.New(rand.NewPCG(o.Seed, uint64(lane)))
			failures := 0
			for since := time.Duration(0); since < outage; since += journal.Backoff(failures, rnd) {
				calls[since.Truncate(time.Second)]++
				failures++
			}
		}
		most := 0
		for second, k := range calls {
			if second >= grown {
				most = max(most, k)
			}
		}
		figures = append(figures, at("return.most_calls_per_second", n.hosts, float64(most), measure.PerSecond))
	}
	return figures, nil
}
