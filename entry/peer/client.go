package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/peer/wire"
)

// Limits of calls to peers.
const (
	// CallTimeout bounds a call to a peer.
	CallTimeout = time.Second
	// SnapshotTimeout bounds a call for a chunk of a snapshot.
	SnapshotTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 30 * time.Second
)

// ErrUnreachable means that a peer did not respond.
var ErrUnreachable = eris.New("peer unreachable")

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that connects with dial.
func NewClient(dial DialFunc) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// At returns the RPC client of the peer at the address. Calls have no timeout of
// their own; the caller sets one in the context.
func (c *Client) At(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, c.http)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
