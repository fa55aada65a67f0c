package configuration

import (
	"encoding/json"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// KindChange is the kind of records whose body is a Change.
const KindChange journal.Kind = "Configuration.Change"

// Reducer folds published changes into the configuration in force.
type Reducer struct {
	// current is replaced as a whole by each accepted change.
	current Configuration
}

// NewReducer returns a reducer that holds the empty configuration.
func NewReducer() *Reducer {
	return &Reducer{}
}

// Current returns the configuration in force. It is never changed in place.
func (r *Reducer) Current() Configuration {
	return r.current
}

// Kinds returns the kinds of records that the reducer folds.
func (r *Reducer) Kinds() []journal.Kind {
	return []journal.Kind{KindChange}
}

// Reduce applies a change or returns the reason to reject it.
func (r *Reducer) Reduce(e journal.Entry) error {
	c, err := journal.DecodeBody[Change](e.Record)
	if err != nil {
		return err
	}
	// Offsets start at 0 and version 0 is the empty configuration.
	next, err := r.current.Apply(c, Version(e.Offset)+1)
	if err != nil {
		return err
	}
	r.current = next
	return nil
}

// MarshalState returns the configuration.
func (r *Reducer) MarshalState() ([]byte, error) {
	return json.Marshal(r.current)
}

// UnmarshalState replaces the configuration.
func (r *Reducer) UnmarshalState(b []byte) error {
	var c Configuration
	if err := json.Unmarshal(b, &c); err != nil {
		return err
	}
	claims, err := newClaims(c.Objects)
	if err != nil {
		return err
	}
	c.claims = claims
	r.current = c
	return nil
}
