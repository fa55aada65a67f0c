// Package settings defines an entry host's settings: their flags and environment
// variables, their defaults, and the validation before startup.
package settings

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrInvalidSetting is returned for a setting that is missing or invalid.
var ErrInvalidSetting = eris.New("bad setting")

// Settings are the settings of one entry host.
type Settings struct {
	// Name is unique among the entry hosts.
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// CallerAddress, OperatorAddress and PeerAddress are the IP:port addresses
	// that the host listens on.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformAddress is the IP:port address of the platform's services.
	PlatformAddress string
	// Peers are the initial peer addresses of other entry hosts.
	Peers []string
	// NoticeTime is how long the load balancer needs to notice that the host is
	// not ready. The host keeps accepting requests during this time.
	NoticeTime time.Duration
	// StopTime bounds the whole graceful shutdown; it is at least NoticeTime.
	StopTime time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// CallerListener, OperatorListener and PeerListener configure the transport
	// and the limits for each kind of client.
	CallerListener   Listener
	OperatorListener Listener
	PeerListener     Listener
	// PeerName is the DNS name in the certificates of all entry hosts.
	PeerName string
	// HeaderNames says whether the names in request headers are trusted.
	HeaderNames HeaderNameRule
	// BootstrapTokenDigest is the hexadecimal digest of the token that authorizes
	// the publication of the first configuration. If it is empty, no token is
	// accepted.
	BootstrapTokenDigest string
}

// DefaultPeerName is the default DNS name in the certificates of entry hosts.
const DefaultPeerName = "entry.godwitcross"

// WithDefaults returns the settings with defaults for the peer name and for the
// omitted limits of the listeners.
func (s Settings) WithDefaults() Settings {
	s.CallerListener.Limits = s.CallerListener.Limits.WithDefaults(CallerLimits)
	s.OperatorListener.Limits = s.OperatorListener.Limits.WithDefaults(OperatorLimits)
	s.PeerListener.Limits = s.PeerListener.Limits.WithDefaults(PeerLimits)
	if s.PeerName == "" {
		s.PeerName = DefaultPeerName
	}
	return s
}

// environment returns the value source for the environment variable
// GODWITCROSS_name.
func environment(name string) cli.ValueSourceChain {
	return cli.EnvVars("GODWITCROSS_" + name)
}

// Flags returns the flags that fill the settings.
func (s *Settings) Flags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "unique name of this entry host", Destination: (*string)(&s.Name), Sources: environment("NAME")},
		&cli.StringFlag{Name: "data-centre", Usage: "data centre of this host", Destination: (*string)(&s.DataCentre), Sources: environment("DATA_CENTRE")},
		&cli.StringFlag{Name: "caller-address", Usage: "IP:port for callers", Value: "127.0.0.1:8080", Destination: &s.CallerAddress, Sources: environment("CALLER_ADDRESS")},
		&cli.StringFlag{Name: "operator-address", Usage: "IP:port for operators, health and metrics", Value: "127.0.0.1:8081", Destination: &s.OperatorAddress, Sources: environment("OPERATOR_ADDRESS")},
		&cli.StringFlag{Name: "peer-address", Usage: "IP:port for other entry hosts", Value: "127.0.0.1:8082", Destination: &s.PeerAddress, Sources: environment("PEER_ADDRESS")},
		&cli.StringFlag{Name: "platform-address", Usage: "IP:port of the platform's services", Value: "127.0.0.1:8090", Destination: &s.PlatformAddress, Sources: environment("PLATFORM_ADDRESS")},
		&cli.StringSliceFlag{Name: "peer", Usage: "IP:port of another entry host; may be given several times", Destination: &s.Peers, Sources: environment("PEERS")},
		&cli.DurationFlag{Name: "notice-time", Usage: "time the load balancer needs to notice that this host is not ready", Value: 2 * time.Second, Destination: &s.NoticeTime, Sources: environment("NOTICE_TIME")},
		&cli.DurationFlag{Name: "stop-time", Usage: "timeout of the whole graceful shutdown", Value: 30 * time.Second, Destination: &s.StopTime, Sources: environment("STOP_TIME")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Destination: &s.LogLevel, Sources: environment("LOG_LEVEL")},
	}, s.securityFlags()...)
}

// Check returns an error that names the first invalid flag and its value.
func (s *Settings) Check() error {
	if s.Name == "" {
		return eris.Wrap(ErrInvalidSetting, "--name is missing")
	}
	if s.DataCentre == "" {
		return eris.Wrap(ErrInvalidSetting, "--data-centre is missing")
	}
	addresses := []struct{ flag, value string }{
		{"--caller-address", s.CallerAddress},
		{"--operator-address", s.OperatorAddress},
		{"--peer-address", s.PeerAddress},
		{"--platform-address", s.PlatformAddress},
	}
	for _, p := range s.Peers {
		addresses = append(addresses, struct{ flag, value string }{"--peer", p})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return eris.Wrapf(ErrInvalidSetting, "%s %q is not IP:port", a.flag, a.value)
		}
	}
	if s.NoticeTime < 0 || s.NoticeTime > time.Minute {
		return eris.Wrapf(ErrInvalidSetting, "--notice-time %s must be from 0s to 1m", s.NoticeTime)
	}
	if s.StopTime < s.NoticeTime || s.StopTime > time.Hour {
		return eris.Wrapf(ErrInvalidSetting, "--stop-time %s must be from --notice-time %s to 1h", s.StopTime, s.NoticeTime)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return s.checkSecurity()
	}
	return eris.Wrapf(ErrInvalidSetting, "--log-level %q is not debug, info, warn or error", s.LogLevel)
}
