package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/wave"
)

func (r *Reducer) grant(e journal.Entry, g Grant) error {
	return forEach(g.Requests, func(q Request) error {
		h, err := r.host(q.Host)
		if err != nil {
			return err
		}
		if err := r.checkDisruption(q, h); err != nil {
			return eris.Wrapf(err, "host %s", q.Host)
		}
		h.Phase, h.Wave, h.Granted, h.GrantedAt, h.Why = Draining, q.Wave, e.Offset, e.Record.At, ""
		r.put(q.Host, h)
		return nil
	})
}

func (r *Reducer) checkDisruption(q Request, h Host) error {
	if h.Failed {
		return ErrFailed
	}
	if h.Phase != InService {
		return eris.Wrapf(ErrPhase, "%s", h.Phase)
	}
	if q.Wave == "" && h.Desired == h.Pool {
		return eris.Wrapf(ErrTarget, "pool %s is the desired one", h.Pool)
	}
	if q.Wave != "" {
		if err := r.checkWave(q, h); err != nil {
			return err
		}
	}
	return r.ledger.Check(h.Place())
}

// checkWave returns an error unless the current pass of a running wave includes the host.
func (r *Reducer) checkWave(q Request, h Host) error {
	w, ok := r.configured[q.Wave]
	p := r.waves[q.Wave]
	_, rebooted := p.Rebooted[q.Host]
	switch {
	case !ok:
		return eris.Wrapf(ErrWave, "wave %s is not configured", q.Wave)
	case w.Paused || w.Aborted:
		return eris.Wrapf(ErrWave, "wave %s is paused or aborted", q.Wave)
	case q.Pass == 0 || q.Pass != p.Pass:
		return eris.Wrapf(ErrWave, "wave %s is in pass %d, not %d", q.Wave, p.Pass, q.Pass)
	case rebooted:
		return eris.Wrapf(ErrWave, "rebooted in pass %d of wave %s already", p.Pass, q.Wave)
	case !slices.Contains(w.Pools, h.Pool):
		return eris.Wrapf(ErrWave, "pool %s is not in wave %s", h.Pool, q.Wave)
	}
	return nil
}

func (r *Reducer) reboot(e journal.Entry, b Reboot) error {
	return forEach(b.Hosts, func(id inventory.HostID) error {
		h, err := r.host(id)
		if err != nil {
			return err
		}
		if h.Phase != Draining || h.Wave == "" {
			return eris.Wrapf(ErrPhase, "host %s: %q", id, h.Phase)
		}
		p := r.waves[h.Wave]
		h.Phase, h.Reboot, h.RebootAt = Rebooting, wave.NewRebootID(h.Wave, p.Pass, id), e.Record.At
		p.Rebooted[id] = struct{}{}
		r.put(id, h)
		return nil
	})
}

func (r *Reducer) handOver(e journal.Entry, b HandOver) error {
	return forEach(b.Moves, func(m Move) error {
		h, err := r.host(m.Host)
		if err != nil {
			return err
		}
		if !h.IsMove() && h.Phase != Joining {
			return eris.Wrapf(ErrPhase, "host %s: %q", m.Host, h.Phase)
		}
		if h.Pool != m.From || h.Desired != m.To || m.From == m.To {
			return eris.Wrapf(ErrTarget, "host %s is in pool %s and wanted in %s", m.Host, h.Pool, h.Desired)
		}
		h.Phase = Joining
		r.transfer(e, m.Host, h, m.To)
		r.removeEmptyPools()
		return nil
	})
}

// transfer assigns a host to a pool and notifies the observers.
func (r *Reducer) transfer(e journal.Entry, id inventory.HostID, h Host, to inventory.PoolID) {
	t := Transfer{
		Host: id, From: h.Pool, FromOwner: r.pools[h.Pool].Owner, To: to, ToOwner: r.pools[to].Owner,
		At: latest(e.Record.At, h.Owned), Offset: e.Offset,
	}
	h.Pool, h.Owned, h.OwnedBy = to, t.At, e.Offset
	r.put(id, h)
	r.notifyObservers(t)
}

func (r *Reducer) notifyObservers(t Transfer) {
	for _, o := range r.observers {
		o.Transferred(t)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (r *Reducer) admit(e journal.Entry, b Admit) error {
	return forEach(b.Hosts, func(id inventory.HostID) error {
		h, err := r.host(id)
		if err != nil {
			return err
		}
		if h.Phase == InService || h.Phase == Draining {
			return eris.Wrapf(ErrPhase, "host %s: %q", id, h.Phase)
		}
		if h.Phase == Rebooting {
			p := r.waves[h.Wave]
			p.Admitted++
			p.TotalDowntime += max(e.Record.At.Sub(h.GrantedAt), 0)
			r.waves[h.Wave] = p
		}
		r.put(id, h.withoutGrant())
		return nil
	})
}

func (r *Reducer) release(_ journal.Entry, b Release) error {
	return forEach(b.Hosts, func(id inventory.HostID) error {
		h, err := r.host(id)
		if err != nil {
			return err
		}
		if h.Phase != Draining {
			return eris.Wrapf(ErrPhase, "host %s: %q", id, h.Phase)
		}
		r.put(id, h.released(b.Why))
		return nil
	})
}

func (r *Reducer) health(_ journal.Entry, b Health) error {
	changed := 0
	for _, id := range b.Returned {
		if h, err := r.host(id); err == nil && h.Failed {
			h.Failed = false
			r.put(id, h)
			changed++
		}
	}
	for _, id := range b.Failed {
		if h, err := r.host(id); err == nil && !h.Failed {
			h = h.withoutGrant()
			h.Failed = true
			r.put(id, h)
			changed++
		}
	}
	if changed == 0 {
		return ErrNoChange
	}
	r.releaseOverLimit("failures used the budget up")
	return nil
}

// releaseOverLimit releases draining hosts, the latest granted first, until no draining
// host is in a domain over its limit.
func (r *Reducer) releaseOverLimit(reason string) {
	var draining []inventory.HostID
	for id := range r.active {
		if r.hosts[id].Phase == Draining {
			draining = append(draining, id)
		}
	}
	slices.SortFunc(draining, func(a, b inventory.HostID) int {
		return cmp.Or(cmp.Compare(r.hosts[b].Granted, r.hosts[a].Granted), cmp.Compare(b, a))
	})
	for _, id := range draining {
		h := *r.hosts[id]
		if r.ledger.MustRelease(h.Place()) {
			r.put(id, h.released(reason))
		}
	}
}

func (r *Reducer) startPass(e journal.Entry, b Pass) error {
	w, ok := r.configured[b.Wave]
	if !ok || w.Paused || w.Aborted {
		return eris.Wrapf(ErrWave, "wave %s is not configured, paused or aborted", b.Wave)
	}
	p, err := r.waves[b.Wave].Start(b.Pass, e.Record.At, b.Forecast)
	if err != nil {
		return err
	}
	r.releaseWave(b.Wave, "the next pass of the wave began")
	r.waves[b.Wave] = p
	r.view = nil
	return nil
}

func (r *Reducer) finishPass(e journal.Entry, b Finish) error {
	p := r.waves[b.Wave]
	if b.Pass == 0 || p.Pass != b.Pass || !p.Finished.IsZero() {
		return eris.Wrapf(ErrWave, "wave %s is in pass %d, finished %v", b.Wave, p.Pass, !p.Finished.IsZero())
	}
	p.Finished = e.Record.At
	r.waves[b.Wave] = p
	r.view = nil
	return nil
}

// releaseWave releases the hosts that drain for a wave.
func (r *Reducer) releaseWave(w inventory.WaveID, reason string) {
	for _, id := range slices.Sorted(maps.Keys(r.active)) {
		if h := *r.hosts[id]; h.Phase == Draining && h.Wave == w {
			r.put(id, h.released(reason))
		}
	}
}
