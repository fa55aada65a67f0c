package configuration

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrDuration is returned for text that is not a duration such as 1.5s.
var ErrDuration = eris.New("not a duration")

// Duration is a time.Duration that is encoded as text, for example "1.5s" or "4h".
type Duration time.Duration

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration {
	return time.Duration(d)
}

// String returns the duration as text, for example "1.5s".
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText encodes the duration as text, as String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration with time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return eris.Wrapf(ErrDuration, "%q", b)
	}
	*d = Duration(v)
	return nil
}
