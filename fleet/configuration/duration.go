package configuration

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrDuration is returned for text that is not a duration such as 1.5s.
var ErrDuration = eris.New("not a duration")

// Duration is a span of time written as text, for example "1.5s" or "4h".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText writes the text form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return eris.Wrapf(ErrDuration, "%q", b)
	}
	*d = Duration(v)
	return nil
}
