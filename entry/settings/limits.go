package settings

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Limits bound the resources that one client, and all clients together, can use
// on a listener. A zero field means its default.
type Limits struct {
	// HeaderBytes bounds the size of the request line and headers. Each connection
	// has a buffer of this size.
	HeaderBytes int
	// HeaderTimeout bounds the time from the opening of a connection, or from the
	// first byte after an idle period, to the end of the headers. On a new
	// connection it includes the TLS handshake and the wait for the first byte.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time from the end of the headers to the end of the body.
	BodyTimeout time.Duration
	// ResponseTimeout bounds how long a client may take to read a response.
	ResponseTimeout time.Duration
	// IdleTimeout bounds how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// Connections bounds the number of open connections of the listener.
	Connections int
	// ConnectionsPerAddress bounds the open connections from one IP address.
	ConnectionsPerAddress int
}

// The defaults of each listener. The bound on callers' connections per address is
// high, since all callers connect through the few addresses of the platform's load
// balancer.
var (
	CallerLimits = Limits{
		HeaderBytes: 8 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, ResponseTimeout: 30 * time.Second,
		IdleTimeout: time.Minute, Connections: 4096, ConnectionsPerAddress: 2048,
	}
	OperatorLimits = Limits{
		HeaderBytes: 8 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, ResponseTimeout: 30 * time.Second,
		IdleTimeout: time.Minute, Connections: 256, ConnectionsPerAddress: 64,
	}
	PeerLimits = Limits{
		HeaderBytes: 8 << 10, HeaderTimeout: 2 * time.Second, BodyTimeout: 3 * time.Second, ResponseTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, Connections: 2048, ConnectionsPerAddress: 64,
	}
)

// The allowed ranges of the limits.
const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 64 << 10
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxConnections = 100_000
)

// WithDefaults returns the limits with every zero field taken from d.
func (l Limits) WithDefaults(d Limits) Limits {
	return Limits{
		HeaderBytes:           cmp.Or(l.HeaderBytes, d.HeaderBytes),
		HeaderTimeout:         cmp.Or(l.HeaderTimeout, d.HeaderTimeout),
		BodyTimeout:           cmp.Or(l.BodyTimeout, d.BodyTimeout),
		ResponseTimeout:       cmp.Or(l.ResponseTimeout, d.ResponseTimeout),
		IdleTimeout:           cmp.Or(l.IdleTimeout, d.IdleTimeout),
		Connections:           cmp.Or(l.Connections, d.Connections),
		ConnectionsPerAddress: cmp.Or(l.ConnectionsPerAddress, d.ConnectionsPerAddress),
	}
}

func (l *Limits) flags(prefix, env string, d Limits) []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: prefix + "-header-bytes", Usage: "maximum size of the request line and headers, in bytes", Value: d.HeaderBytes, Destination: &l.HeaderBytes, Sources: environment(env + "HEADER_BYTES")},
		&cli.DurationFlag{Name: prefix + "-header-time", Usage: "timeout for reading a request's headers", Value: d.HeaderTimeout, Destination: &l.HeaderTimeout, Sources: environment(env + "HEADER_TIME")},
		&cli.DurationFlag{Name: prefix + "-body-time", Usage: "timeout for reading a request's body, from the end of the headers", Value: d.BodyTimeout, Destination: &l.BodyTimeout, Sources: environment(env + "BODY_TIME")},
		&cli.DurationFlag{Name: prefix + "-answer-time", Usage: "timeout for a client to read a response", Value: d.ResponseTimeout, Destination: &l.ResponseTimeout, Sources: environment(env + "ANSWER_TIME")},
		&cli.DurationFlag{Name: prefix + "-idle-time", Usage: "timeout of an idle connection", Value: d.IdleTimeout, Destination: &l.IdleTimeout, Sources: environment(env + "IDLE_TIME")},
		&cli.IntFlag{Name: prefix + "-connections", Usage: "maximum number of open connections", Value: d.Connections, Destination: &l.Connections, Sources: environment(env + "CONNECTIONS")},
		&cli.IntFlag{Name: prefix + "-connections-per-address", Usage: "maximum number of open connections from one IP address", Value: d.ConnectionsPerAddress, Destination: &l.ConnectionsPerAddress, Sources: environment(env + "CONNECTIONS_PER_ADDRESS")},
	}
}

// check returns an error that names the first flag that is out of range. Zero
// fields mean the defaults and are valid.
func (l *Limits) check(prefix string) error {
	times := []struct {
		flag  string
		value time.Duration
	}{{"header-time", l.HeaderTimeout}, {"body-time", l.BodyTimeout}, {"answer-time", l.ResponseTimeout}, {"idle-time", l.IdleTimeout}}
	for _, t := range times {
		if t.value != 0 && (t.value < minTimeout || t.value > maxTimeout) {
			return eris.Wrapf(ErrInvalidSetting, "--%s-%s %s must be from %s to %s", prefix, t.flag, t.value, minTimeout, maxTimeout)
		}
	}
	counts := []struct {
		flag             string
		value, low, high int
	}{
		{"header-bytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes},
		{"connections", l.Connections, 1, maxConnections},
		{"connections-per-address", l.ConnectionsPerAddress, 1, maxConnections},
	}
	for _, c := range counts {
		if c.value != 0 && (c.value < c.low || c.value > c.high) {
			return eris.Wrapf(ErrInvalidSetting, "--%s-%s %d must be from %d to %d", prefix, c.flag, c.value, c.low, c.high)
		}
	}
	return nil
}
