package platform

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// PoolHost is a host as the platform's pools tell of it.
type PoolHost struct {
	ID     inventory.HostID
	State  DrainState
	Reboot string `json:",omitempty"`
	// Reboots counts completed reboots.
	Reboots int `json:",omitempty"`
}

func (w *Worker) poolHost() PoolHost {
	return PoolHost{ID: w.Facts.ID.Host(), State: w.State, Reboot: w.Reboot, Reboots: w.Reboots}
}

// handlePools lists hosts, or takes a command to one host.
func (p *Platform) handlePools(ctx *fasthttp.RequestCtx, rest []string) {
	switch {
	case len(rest) == 1 && rest[0] == "hosts":
		p.listPoolHosts(ctx)
	case len(rest) == 3 && rest[0] == "hosts":
		p.commandHost(ctx, inventory.WorkerID(rest[1]), rest[2])
	default:
		refuse(ctx, fasthttp.StatusNotFound, "want /pools/hosts or /pools/hosts/{Host}/{drain|reboot|admit}")
	}
}

// listPoolHosts lists the hosts in the state that the query State names, or else
// all that are not admitted.
func (p *Platform) listPoolHosts(ctx *fasthttp.RequestCtx) {
	only := DrainState(ctx.QueryArgs().Peek("State"))
	hosts := []PoolHost{}
	isListed := func(w *Worker) bool {
		return w.State == only || (only == "" && w.State != Admitted)
	}
	for _, w := range p.Fleet.workersThat(p.now(), isListed) {
		hosts = append(hosts, w.poolHost())
	}
	answer(ctx, fasthttp.StatusOK, hosts)
}

func (p *Platform) commandHost(ctx *fasthttp.RequestCtx, id inventory.WorkerID, verb string) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "not a command")
		return
	}
	p.Fleet.mu.Lock()
	defer p.Fleet.mu.Unlock()
	w, ok := p.Fleet.workers[id]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "no such host")
		return
	}
	now := p.now()
	w.advance(now, false)
	if c.Epoch < w.HostEpoch {
		refuse(ctx, fasthttp.StatusConflict, "older epoch")
		return
	}
	w.HostEpoch = c.Epoch
	begun := c.Reboot != "" && c.Reboot == w.Reboot
	switch {
	case verb == "drain" && w.State == Admitted:
		w.State = Draining
		w.advance(now, false)
	case verb == "reboot" && w.State == Drained && !begun:
		w.State = Rebooting
		w.Reboot = c.Reboot
		w.Back = now.Add(p.Fleet.RebootTime)
	case verb == "admit" && w.State != Rebooting:
		w.State = Admitted
	}
	answer(ctx, fasthttp.StatusOK, w.poolHost())
}
