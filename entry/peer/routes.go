package peer

import (
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/operator"
	"github.com/godwitcross/godwitcross/entry/view"
)

// Routes returns the operators' path that shows what a host knows of the others.
func Routes(peers *view.Box[View]) []operator.Route {
	return []operator.Route{{Method: fasthttp.MethodGet, Path: "/peers", Handle: func(ctx *fasthttp.RequestCtx) {
		operator.Answer(ctx, fasthttp.StatusOK, peers.Latest())
	}}}
}
