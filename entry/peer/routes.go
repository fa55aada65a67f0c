package peer

import (
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/view"
)

// Routes returns the operators' route that serves the peers as this host knows
// them.
func Routes(peers *view.Value[View]) []operator.Route {
	return []operator.Route{{Method: fasthttp.MethodGet, Path: "/peers", Handle: func(ctx *fasthttp.RequestCtx) {
		operator.WriteJSON(ctx, fasthttp.StatusOK, peers.Latest())
	}}}
}
