package placement

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// maxStateBytes bounds the decompressed state.
const maxStateBytes = 512 << 20

// ErrState is returned for a stored state that cannot be decoded.
var ErrState = eris.New("unreadable state of jobs")

// storedState is the encoding of the state in snapshots.
type storedState struct {
	Jobs      []*Job
	Ended     []inventory.JobID
	Sequence  int64
	Templates map[string]*Template
	Health    *Health
}

// MarshalState returns the jobs, templates and health, compressed, since a long queue
// would not fit into a snapshot otherwise.
func (r *Reducer) MarshalState() ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "packing the jobs")
	}
	err = json.NewEncoder(w).Encode(storedState{Jobs: r.Jobs(), Ended: r.ended, Sequence: r.sequence, Templates: r.templates, Health: r.health})
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "packing the jobs")
	}
	return json.Marshal(b.Bytes())
}

// decompress returns the decompressed JSON of a marshalled state.
func decompress(state []byte) ([]byte, error) {
	var packed []byte
	if err := json.Unmarshal(state, &packed); err != nil {
		return nil, eris.Wrapf(ErrState, "%s", err)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrapf(ErrState, "%s", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil || len(plain) > maxStateBytes {
		return nil, eris.Wrapf(ErrState, "%d bytes read: %v", len(plain), err)
	}
	return plain, nil
}

// UnmarshalState replaces the state and rebuilds its indexes.
func (r *Reducer) UnmarshalState(b []byte) error {
	plain, err := decompress(b)
	if err != nil {
		return err
	}
	m := storedState{Health: newHealth()}
	if err := json.Unmarshal(plain, &m); err != nil {
		return eris.Wrapf(ErrState, "%s", err)
	}
	r.reset()
	r.ended, r.sequence, r.health = m.Ended, m.Sequence, m.Health
	if m.Templates != nil {
		r.templates = m.Templates
	}
	for _, j := range m.Jobs {
		r.jobs[j.ID] = j
		if !j.HasEnded() {
			r.open++
		}
		if j.State == Queued {
			r.queues.add(j)
		}
		if j.State == Started {
			r.assign(j)
		}
	}
	return nil
}
