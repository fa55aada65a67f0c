package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/follower"
	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/view"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// routes answers operators' requests from the applied state, on every entry host.
type routes struct {
	state *view.Value[follower.State]
}

// Routes returns the operator routes for hosts, pools and waves.
func Routes(state *view.Value[follower.State]) []operator.Route {
	r := routes{state: state}
	return []operator.Route{
		{Method: fasthttp.MethodGet, Path: "/hosts", Handle: r.hosts},
		{Method: fasthttp.MethodGet, Path: "/pools", Handle: r.pools},
		{Method: fasthttp.MethodGet, Path: "/waves", Handle: r.waves},
		{Method: fasthttp.MethodGet, Path: "/explain/host", Handle: r.explainHost},
		{Method: fasthttp.MethodPost, Path: "/plan", Handle: r.plan},
	}
}

// latest returns the state, or refuses the request while no record has been applied.
func (r routes) latest(ctx *fasthttp.RequestCtx) (follower.State, bool) {
	st := r.state.Latest()
	if st.Pools == nil {
		operator.WriteError(ctx, fasthttp.StatusServiceUnavailable, "no record was read from the log yet")
		return st, false
	}
	return st, true
}

// hosts lists all hosts sorted by ID. The query parameter Pool limits the list to the
// hosts that are in that pool or are to join it.
func (r routes) hosts(ctx *fasthttp.RequestCtx) {
	st, ok := r.latest(ctx)
	if !ok {
		return
	}
	only := inventory.PoolID(ctx.QueryArgs().Peek("Pool"))
	out := []pool.HostStatus{}
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Hosts)) {
		h := st.Pools.Hosts[id]
		if only == "" || h.Pool == only || h.Desired == only {
			out = append(out, pool.HostStatus{ID: id, Host: *h})
		}
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (r routes) pools(ctx *fasthttp.RequestCtx) {
	st, ok := r.latest(ctx)
	if !ok {
		return
	}
	out := []pool.Status{}
	for _, id := range slices.Sorted(maps.Keys(st.Pools.Pools)) {
		out = append(out, pool.NewStatus(st.Pools, id))
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (r routes) waves(ctx *fasthttp.RequestCtx) {
	st, ok := r.latest(ctx)
	if !ok {
		return
	}
	now := time.Now()
	out := []pool.WaveStatus{}
	for _, id := range slices.Sorted(maps.Keys(st.Configuration.Waves)) {
		out = append(out, pool.NewWaveStatus(now, st.Configuration, st.Pools, id))
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, out)
}

// explainHost explains why the host named by the query parameter Host is in its pool.
func (r routes) explainHost(ctx *fasthttp.RequestCtx) {
	st, ok := r.latest(ctx)
	if !ok {
		return
	}
	x, err := pool.Explain(st.Configuration, st.Pools, inventory.HostID(ctx.QueryArgs().Peek("Host")))
	if err != nil {
		operator.WriteError(ctx, fasthttp.StatusNotFound, err.Error())
		return
	}
	operator.WriteJSON(ctx, fasthttp.StatusOK, x)
}
