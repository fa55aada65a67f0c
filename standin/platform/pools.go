package platform

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// PoolHost is the state of a host in the answers of the pools service.
type PoolHost struct {
	ID    inventory.HostID
	State DrainState
	// Reboot is the ID of the last reboot that began.
	Reboot string `json:",omitempty"`
	// Reboots is the number of completed reboots.
	Reboots int `json:",omitempty"`
}

func (w *Worker) poolHost() PoolHost {
	return PoolHost{ID: w.Facts.ID.Host(), State: w.State, Reboot: w.Reboot, Reboots: w.Reboots}
}

// handlePools lists hosts or executes a command to one host.
func (p *Platform) handlePools(ctx *fasthttp.RequestCtx, segments []string) {
	switch {
	case len(segments) == 1 && segments[0] == "hosts":
		p.listPoolHosts(ctx)
	case len(segments) == 3 && segments[0] == "hosts":
		p.handleHostCommand(ctx, inventory.WorkerID(segments[1]), segments[2])
	default:
		writeError(ctx, fasthttp.StatusNotFound, "want /pools/hosts or /pools/hosts/{Host}/{drain|reboot|admit}")
	}
}

// listPoolHosts answers with the hosts in the state of the query parameter State, or with all
// that are not admitted if it is absent.
func (p *Platform) listPoolHosts(ctx *fasthttp.RequestCtx) {
	state := DrainState(ctx.QueryArgs().Peek("State"))
	hosts := []PoolHost{}
	isListed := func(w *Worker) bool {
		return w.State == state || (state == "" && w.State != Admitted)
	}
	for _, w := range p.Fleet.selectWorkers(p.now(), isListed) {
		hosts = append(hosts, w.poolHost())
	}
	writeJSON(ctx, fasthttp.StatusOK, hosts)
}

// handleHostCommand drains, reboots or admits a host. A command that doesn't apply to the
// host's state has no effect; the answer shows the state.
func (p *Platform) handleHostCommand(ctx *fasthttp.RequestCtx, id inventory.WorkerID, verb string) {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "not a command")
		return
	}
	p.Fleet.mu.Lock()
	defer p.Fleet.mu.Unlock()
	w, ok := p.Fleet.workers[id]
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no such host")
		return
	}
	now := p.now()
	w.advance(now, false)
	if c.Epoch < w.HostEpoch {
		writeError(ctx, fasthttp.StatusConflict, "older epoch")
		return
	}
	w.HostEpoch = c.Epoch
	isRepeated := c.Reboot != "" && c.Reboot == w.Reboot
	switch {
	case verb == "drain" && w.State == Admitted:
		w.State = Draining
		w.advance(now, false)
	case verb == "reboot" && w.State == Drained && !isRepeated:
		w.State = Rebooting
		w.Reboot = c.Reboot
		w.Back = now.Add(p.Fleet.RebootTime)
	case verb == "admit" && w.State != Rebooting:
		w.State = Admitted
	}
	writeJSON(ctx, fasthttp.StatusOK, w.poolHost())
}
