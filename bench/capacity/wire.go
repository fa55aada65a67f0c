package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/entry/peer"
	"github.com/godwitcross/godwitcross/entry/peer/wire"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/membership"
)

// echoServer answers an exchange with the received heartbeats.
type echoServer struct{ wire.Peer }

func (echoServer) Exchange(_ context.Context, in *wire.Heartbeats) (*wire.Heartbeats, error) {
	return in, nil
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// NewHeartbeat returns a heartbeat of typical size.
func NewHeartbeat(i int, dc inventory.DataCentreID) membership.Heartbeat {
	return membership.Heartbeat{
		Name: inventory.EntryID(fmt.Sprintf("%s-entry-%d", dc, i)), DataCentre: dc, Address: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
		Incarnation: 1_800_000_000_000, Sequence: 100_000, Applied: 10_000_000, Digest: 1 << 63, History: 1 << 62, KnownKinds: 1 << 31,
		Load: membership.Load{InFlight: 200, Queued: 20}, Platform: true, View: 1 << 30,
	}
}

// timedExchanges is the number of exchanges over which processor time is measured.
const timedExchanges = 2000

// exchanger is a heartbeat client and server over a loopback connection, and counts its
// bytes.
type exchanger struct {
	client *peer.Client
	server *http.Server
	bytes  atomic.Int64
}

func newExchanger() (*exchanger, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &exchanger{server: &http.Server{Handler: wire.NewPeerServer(echoServer{})}}
	go func() { _ = e.server.Serve(l) }()
	e.client = peer.NewClient(func(ctx context.Context, _ string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", l.Addr().String())
		return countingConn{conn, &e.bytes}, err
	})
	return e, nil
}

func (e *exchanger) close() {
	e.client.Close()
	_ = e.server.Close()
}

// exchange sends the heartbeats and receives as many.
func (e *exchanger) exchange(heartbeats *wire.Heartbeats) error {
	_, err := e.client.At("10.0.100.100:8082").Exchange(context.Background(), heartbeats)
	return err
}

// exchangeTime returns the processor time of one exchange with full messages, for client
// and server together.
func exchangeTime() (time.Duration, error) {
	e, err := newExchanger()
	if err != nil {
		return 0, err
	}
	defer e.close()
	heartbeats := make([]membership.Heartbeat, 1+membership.GossipLocalPeers+membership.GossipRemotePeers)
	for i := range heartbeats {
		heartbeats[i] = NewHeartbeat(i, "DataCentre-1")
	}
	before := processorTime()
	for range timedExchanges {
		if err := e.exchange(peer.Encode(heartbeats)); err != nil {
			return 0, err
		}
	}
	return (processorTime() - before) / timedExchanges, nil
}

// ExchangeOverhead returns the bytes of one heartbeat exchange besides the two messages:
// request line, headers and status line, as written by a real client and server on an
// open connection.
func ExchangeOverhead() (int, error) {
	e, err := newExchanger()
	if err != nil {
		return 0, err
	}
	defer e.close()
	heartbeats := peer.Encode([]membership.Heartbeat{NewHeartbeat(1, "DataCentre-1")})
	for range 2 {
		e.bytes.Store(0)
		if err := e.exchange(heartbeats); err != nil {
			return 0, err
		}
	}
	return int(e.bytes.Load()) - 2*proto.Size(heartbeats), nil
}

// measureWire measures the bytes per heartbeat in a message, and the overhead and
// processor time of an exchange.
func measureWire(measure.Options) ([]measure.Figure, error) {
	var points []point
	for _, n := range []int{1, 8, 64} {
		heartbeats := make([]membership.Heartbeat, n)
		for i := range heartbeats {
			heartbeats[i] = NewHeartbeat(i, "DataCentre-1")
		}
		points = append(points, point{float64(n), float64(proto.Size(peer.Encode(heartbeats)))})
	}
	overhead, err := ExchangeOverhead()
	if err != nil {
		return nil, err
	}
	t, err := exchangeTime()
	return []measure.Figure{
		{Name: "wire.heartbeat_bytes", Value: slope(points), Unit: measure.Bytes, Deterministic: true},
		{Name: "wire.exchange_overhead", Value: float64(overhead), Unit: measure.Bytes, Deterministic: true},
		{Name: "wire.exchange_time", Value: float64(t.Microseconds()), Unit: measure.Microseconds},
	}, err
}
