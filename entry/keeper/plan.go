package keeper

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// plan applies the change in the body to a copy of the current configuration and answers
// with its effects. The configuration itself stays unchanged.
func (r routes) plan(ctx *fasthttp.RequestCtx) {
	st, ok := r.latest(ctx)
	if !ok {
		return
	}
	var c configuration.Change
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		operator.WriteError(ctx, fasthttp.StatusBadRequest, "want {\"Base\":...,\"Set\":{...}}")
		return
	}
	next, err := st.Configuration.Apply(c, st.Configuration.Version+1)
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, newPlan(time.Now(), st, next, c.Touched()))
}

func newPlan(now time.Time, st follower.State, next configuration.Configuration, touched []configuration.Key) operation.Plan {
	p := operation.Plan{
		Base:       st.Configuration.Version,
		Difference: configuration.Compare(st.Configuration.Objects, next.Objects, touched),
	}
	for _, id := range slices.Sorted(maps.Keys(next.Waves)) {
		isSet := slices.Contains(touched, configuration.Key{Kind: configuration.KindWave, Name: string(id)})
		if isSet || overlaps(next.Waves[id].Pools, p.Budgets) {
			p.Waves = append(p.Waves, pool.NewWaveStatus(now, next, st.Pools, id))
		}
	}
	return p
}

func overlaps(a, b []inventory.PoolID) bool {
	return slices.ContainsFunc(a, func(id inventory.PoolID) bool { return slices.Contains(b, id) })
}
