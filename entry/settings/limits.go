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
	// HeaderTime bounds the time from the opening of a connection, or from the
	// first byte after an idle period, to the end of the headers. On a new
	// connection it includes the TLS handshake and the wait for the first byte.
	HeaderTime time.Duration
	// BodyTime bounds the time from the end of the headers to the end of the body.
	BodyTime time.Duration
	// AnswerTime bounds how long a client may take to read a response.
	AnswerTime time.Duration
	// IdleTime bounds how long a connection may wait for its next request.
	IdleTime time.Duration
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
		HeaderBytes: 8 << 10, HeaderTime: 5 * time.Second, BodyTime: 30 * time.Second, AnswerTime: 30 * time.Second,
		IdleTime: time.Minute, Connections: 4096, ConnectionsPerAddress: 2048,
	}
	OperatorLimits = Limits{
		HeaderBytes: 8 << 10, HeaderTime: 5 * time.Second, BodyTime: 30 * time.Second, AnswerTime: 30 * time.Second,
		IdleTime: time.Minute, Connections: 256, ConnectionsPerAddress: 64,
	}
	PeerLimits = Limits{
		HeaderBytes: 8 << 10, HeaderTime: 2 * time.Second, BodyTime: 3 * time.Second, AnswerTime: 10 * time.Second,
		IdleTime: time.Minute, Connections: 2048, ConnectionsPerAddress: 64,
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
		HeaderTime:            cmp.Or(l.HeaderTime, d.HeaderTime),
		BodyTime:              cmp.Or(l.BodyTime, d.BodyTime),
		AnswerTime:            cmp.Or(l.AnswerTime, d.AnswerTime),
		IdleTime:              cmp.Or(l.IdleTime, d.IdleTime),
		Connections:           cmp.Or(l.Connections, d.Connections),
		ConnectionsPerAddress: cmp.Or(l.ConnectionsPerAddress, d.ConnectionsPerAddress),
	}
}

func (l *Limits) flags(prefix, env string, d Limits) []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: prefix + "-header-bytes", Usage: "maximum size of the request line and headers, in bytes", Value: d.HeaderBytes, Destination: &l.HeaderBytes, Sources: environment(env + "HEADER_BYTES")},
		&cli.DurationFlag{Name: prefix + "-header-time", Usage: "timeout for reading a request's headers", Value: d.HeaderTime, Destination: &l.HeaderTime, Sources: environment(env + "HEADER_TIME")},
		&cli.DurationFlag{Name: prefix + "-body-time", Usage: "timeout for reading a request's body, from the end of the headers", Value: d.BodyTime, Destination: &l.BodyTime, Sources: environment(env + "BODY_TIME")},
		&cli.DurationFlag{Name: prefix + "-answer-time", Usage: "timeout for a client to read a response", Value: d.AnswerTime, Destination: &l.AnswerTime, Sources: environment(env + "ANSWER_TIME")},
		&cli.DurationFlag{Name: prefix + "-idle-time", Usage: "timeout of an idle connection", Value: d.IdleTime, Destination: &l.IdleTime, Sources: environment(env + "IDLE_TIME")},
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
	}{{"header-time", l.HeaderTime}, {"body-time", l.BodyTime}, {"answer-time", l.AnswerTime}, {"idle-time", l.IdleTime}}
	for _, t := range times {
		if t.value != 0 && (t.value < minTimeout || t.value > maxTimeout) {
			return eris.Wrapf(ErrSetting, "--%s-%s %s must be from %s to %s", prefix, t.flag, t.value, minTimeout, maxTimeout)
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
			return eris.Wrapf(ErrSetting, "--%s-%s %d must be from %d to %d", prefix, c.flag, c.value, c.low, c.high)
		}
	}
	return nil
}
