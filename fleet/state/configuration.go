package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// configurationReducer applies records to the configuration and passes each accepted
// change on to the pools, as part of the same record.
type configurationReducer struct {
	*configuration.Reducer
	pools *pool.Reducer
}

// Reduce applies a change to the configuration and then, if it is accepted, to the pools.
func (c configurationReducer) Reduce(e journal.Entry) error {
	if err := c.Reducer.Reduce(e); err != nil {
		return err
	}
	cfg := c.Current()
	c.pools.Configure(cfg, cfg.Touched(), e)
	return nil
}
