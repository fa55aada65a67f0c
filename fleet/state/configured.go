package state

import (
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// configured folds the configuration and hands each accepted change on to the
// pools, under the same record.
type configured struct {
	*configuration.Reducer
	pools *pool.Reducer
}

// Reduce applies a change to the configuration and then to the pools.
func (c configured) Reduce(e journal.Entry) error {
	if err := c.Reducer.Reduce(e); err != nil {
		return err
	}
	cfg := c.Current()
	c.pools.Configure(cfg, cfg.Touched(), e)
	return nil
}
