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

// changeBytes is the record size of one change, see fold.change_bytes in the capacity
// measurements.
const changeBytes = 399

// Parameters of the interval broadcast: its message loss and number of runs.
const (
	lossPerThousand = 10
	broadcastRuns   = 1000
)

// measurePropagation measures the messages and bytes that one change costs a host by
// each of three methods, and the delay on hosts that cannot reach the platform.
func measurePropagation(o measure.Options) ([]measure.Figure, error) {
	overhead, err := capacity.ExchangeOverhead()
	if err != nil {
		return nil, err
	}
	var figures []measure.Figure
	for _, n := range clusterSizes {
		o.Progress(fmt.Sprintf("propagation of a change to %d hosts", n.hosts))
		waited, fetched, err := relayedChange(n.hosts, n.dataCentres, o.Seed)
		if err != nil {
			return nil, err
		}
		b := broadcast(n.hosts, o.Seed)
		figures = append(figures,
			clusterFigure("propagation.direct_messages", n.hosts, 2, measure.Count),
			clusterFigure("propagation.direct_bytes", n.hosts, float64(directBytes()+overhead), measure.Bytes),
			clusterFigure("propagation.relay_messages", n.hosts, 2*fetched, measure.Count),
			clusterFigure("propagation.relay_bytes", n.hosts, fetched*float64(relayBytes()+overhead), measure.Bytes),
			clusterFigure("propagation.relay_slowest", n.hosts, float64(waited.Milliseconds()), measure.Milliseconds),
			clusterFigure("propagation.broadcast_messages", n.hosts, b.messages, measure.Count),
			clusterFigure("propagation.broadcast_bytes", n.hosts, b.messages*float64(changeBytes+overhead), measure.Bytes),
			clusterFigure("propagation.broadcast_depth", n.hosts, float64(b.depth), measure.Count),
			clusterFigure("propagation.broadcast_most_sent", n.hosts, float64(b.mostSent), measure.Count),
			clusterFigure("propagation.broadcast_missed", n.hosts, b.missed, measure.Ratio))
	}
	return figures, nil
}

// directBytes returns the size of the log's response with one change.
func directBytes() int {
	b, _ := json.Marshal(platform.Batch{Records: []json.RawMessage{repeatedDigits(changeBytes)}})
	return len(b)
}

func repeatedDigits(n int) json.RawMessage {
	b := make([]byte, n)
	for i := range b {
		b[i] = '1'
	}
	return b
}

// relayBytes returns the size of fetching one change from a peer.
func relayBytes() int {
	return proto.Size(&wire.ReadRecordsRequest{From: 1 << 20, History: 1, Limit: 500}) +
		proto.Size(&wire.ReadRecordsResponse{First: 1 << 20, End: 1 << 20, Records: [][]byte{repeatedDigits(changeBytes)}})
}

// relayedChange isolates one data centre from the platform and makes a change. It
// returns the delay on the slowest host of that data centre and the mean number of
// fetches by its hosts.
func relayedChange(hosts, dataCentres int, seed uint64) (time.Duration, float64, error) {
	c, err := newCluster(hosts, dataCentres, seed)
	if err != nil {
		return 0, 0, err
	}
	isolated := c.members[0].own.DataCentre
	for _, m := range c.members {
		m.reachesPlatform = m.own.DataCentre != isolated
	}
	c.run(warmUp, func() {})
	began, slowest := c.now, time.Duration(0)
	waiting, fetched := 0, 0
	for _, m := range c.members {
		if m.reachesPlatform {
			m.own.Applied = changeOffset
		} else {
			waiting++
		}
	}
	isolatedHosts := waiting
	observe := func() {
		for _, m := range c.members {
			if m.own.Applied >= changeOffset || time.Duration(c.now.UnixNano())%peer.RelayInterval != m.phase%peer.RelayInterval || !c.fetchFromPeer(m) {
				continue
			}
			fetched++
			waiting--
			slowest = c.now.Sub(began)
		}
	}
	for waiting > 0 && c.now.Sub(began) < measurementPeriod {
		c.run(time.Second, observe)
	}
	if waiting > 0 {
		slowest = measurementPeriod
	}
	return slowest, float64(fetched) / float64(isolatedHosts), nil
}

// broadcastCost is the cost of the interval broadcast.
type broadcastCost struct {
	// messages is the mean number of messages that a host receives per change.
	messages float64
	// depth is the longest path in hops, mostSent the most messages sent by one host.
	depth, mostSent int
	// missed is the share of hosts that a change does not reach because of lost
	// messages.
	missed float64
}

// broadcast simulates the interval broadcast of the paper on multicast in DKS(N, k, f)
// with k = 2 and correct tables: the host responsible for an interval splits it in
// half, delegates the far half to that half's first host, and repeats this with the
// near half.
func broadcast(hosts int, seed uint64) broadcastCost {
	rnd := rand.New(rand.NewPCG(seed, uint64(hosts)))
	var count broadcastCost
	sent, missed := 0, 0
	var forward func(from, to, depth int, reached bool)
	forward = func(from, to, depth int, reached bool) {
		own := 0
		for to-from > 1 {
			middle := (from + to) / 2
			arrives := reached && rnd.IntN(1000) >= lossPerThousand
			if reached {
				sent, own = sent+1, own+1
			}
			forward(middle, to, depth+1, arrives)
			to = middle
		}
		if !reached {
			missed++
		}
		count.depth, count.mostSent = max(count.depth, depth), max(count.mostSent, own)
	}
	for range broadcastRuns {
		forward(0, hosts, 0, true)
	}
	count.messages = float64(sent) / float64(broadcastRuns*hosts)
	count.missed = float64(missed) / float64(broadcastRuns*hosts)
	return count
}

// measureLogRecovery measures the call rate that hosts cause at a log that is
// unavailable for a minute: the most calls in one second of the outage after the retry
// delays have grown.
func measureLogRecovery(o measure.Options) ([]measure.Figure, error) {
	const streams, outage, grown = 4, time.Minute, 20 * time.Second
	var figures []measure.Figure
	for _, n := range clusterSizes {
		calls := make(map[time.Duration]int)
		for stream := range n.hosts * streams {
			rnd := rand.New(rand.NewPCG(o.Seed, uint64(stream)))
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
		figures = append(figures, clusterFigure("return.most_calls_per_second", n.hosts, float64(most), measure.PerSecond))
	}
	return figures, nil
}
