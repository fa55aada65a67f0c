// Package settings holds what a process is told by flags and environment
// variables, the defaults, and the checks made before anything starts.
package settings

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// ErrSetting is returned for a setting that is missing or out of range.
var ErrSetting = eris.New("bad setting")

// Settings are those of one entry host.
type Settings struct {
	// Name is unique among the entry hosts.
	Name       inventory.EntryID
	DataCentre inventory.DataCentreID
	// CallerAddress, OperatorAddress and PeerAddress are IP numbers with ports
	// that the host listens on.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformAddress is where the platform's services answer.
	PlatformAddress string
	// Peers are the peer addresses of other entry hosts to begin with.
	Peers []string
	// NoticeTime is how long the balancer needs to see that the host is not
	// ready. The host goes on taking requests meanwhile.
	NoticeTime time.Duration
	// StopTime bounds a planned stop as a whole; at least NoticeTime.
	StopTime time.Duration
	// LogLevel is one of logrus's levels.
	LogLevel string
	// CallerListener, OperatorListener and PeerListener say how each kind of
	// client is served.
	CallerListener   Listener
	OperatorListener Listener
	PeerListener     Listener
	// PeerName is the name that the certificates of all entry hosts bear.
	PeerName string
	// Names says whether names in headers are believed.
	Names NameRule
	// BootstrapTokenDigest is the digest of the token that publishes the first
	// configuration, in hexadecimal; empty where nobody may.
	BootstrapTokenDigest string
}

// DefaultPeerName is the name that the certificates of entry hosts bear.
const DefaultPeerName = "entry.godwitcross"

// WithDefaults returns the settings with every omitted field of the listeners
// filled in.
func (s Settings) WithDefaults() Settings {
	s.CallerListener.Limits = s.CallerListener.Limits.WithDefaults(CallerLimits)
	s.OperatorListener.Limits = s.OperatorListener.Limits.WithDefaults(OperatorLimits)
	s.PeerListener.Limits = s.PeerListener.Limits.WithDefaults(PeerLimits)
	if s.PeerName == "" {
		s.PeerName = DefaultPeerName
	}
	return s
}

// environment returns the source of a setting's environment variable.
func environment(name string) cli.ValueSourceChain {
	return cli.EnvVars("GODWITCROSS_" + name)
}

// Flags returns the flags that fill the settings.
func (s *Settings) Flags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "unique name of this entry host", Destination: (*string)(&s.Name), Sources: environment("NAME")},
		&cli.StringFlag{Name: "data-centre", Usage: "data centre that this host stands in", Destination: (*string)(&s.DataCentre), Sources: environment("DATA_CENTRE")},
		&cli.StringFlag{Name: "caller-address", Usage: "IP:port for callers", Value: "127.0.0.1:8080", Destination: &s.CallerAddress, Sources: environment("CALLER_ADDRESS")},
		&cli.StringFlag{Name: "operator-address", Usage: "IP:port for operators, health and metrics", Value: "127.0.0.1:8081", Destination: &s.OperatorAddress, Sources: environment("OPERATOR_ADDRESS")},
		&cli.StringFlag{Name: "peer-address", Usage: "IP:port for other entry hosts", Value: "127.0.0.1:8082", Destination: &s.PeerAddress, Sources: environment("PEER_ADDRESS")},
		&cli.StringFlag{Name: "platform-address", Usage: "IP:port of the platform's services", Value: "127.0.0.1:8090", Destination: &s.PlatformAddress, Sources: environment("PLATFORM_ADDRESS")},
		&cli.StringSliceFlag{Name: "peer", Usage: "IP:port of another entry host; may be given several times", Destination: &s.Peers, Sources: environment("PEERS")},
		&cli.DurationFlag{Name: "notice-time", Usage: "time the balancer needs to see that this host is not ready", Value: 2 * time.Second, Destination: &s.NoticeTime, Sources: environment("NOTICE_TIME")},
		&cli.DurationFlag{Name: "stop-time", Usage: "bound on a planned stop as a whole", Value: 30 * time.Second, Destination: &s.StopTime, Sources: environment("STOP_TIME")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Destination: &s.LogLevel, Sources: environment("LOG_LEVEL")},
	}, s.securityFlags()...)
}

// Check returns an error that names the first bad flag and its value.
func (s *Settings) Check() error {
	if s.Name == "" {
		return eris.Wrap(ErrSetting, "--name is missing")
	}
	if s.DataCentre == "" {
		return eris.Wrap(ErrSetting, "--data-centre is missing")
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
			return eris.Wrapf(ErrSetting, "%s %q is not IP:port", a.flag, a.value)
		}
	}
	if s.NoticeTime < 0 || s.NoticeTime > time.Minute {
		return eris.Wrapf(ErrSetting, "--notice-time %s must be from 0s to 1m", s.NoticeTime)
	}
	if s.StopTime < s.NoticeTime || s.StopTime > time.Hour {
		return eris.Wrapf(ErrSetting, "--stop-time %s must be from --notice-time %s to 1h", s.StopTime, s.NoticeTime)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return s.checkSecurity()
	}
	return eris.Wrapf(ErrSetting, "--log-level %q is not debug, info, warn or error", s.LogLevel)
}
