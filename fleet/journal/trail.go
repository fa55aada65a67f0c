package journal

import "slices"

// TrailSize is how many of the last offsets have their digest remembered.
const TrailSize = 4096

// trail remembers the digest of a stream's records at its last offsets.
type trail struct {
	// oldest is the offset of digests[0].
	oldest Offset
	// digests has the digest up to each offset from oldest to the next one. It
	// has from TrailSize to twice as many entries once it is full, and none in a
	// stream without records.
	digests []uint64
}

// newTrail returns a trail that knows one offset only.
func newTrail(next Offset, digest uint64) trail {
	return trail{oldest: next, digests: []uint64{digest}}
}

func (t *trail) at(o Offset) (digest uint64, known bool) {
	if o == 0 && t.oldest == 0 {
		return 0, true
	}
	if o < t.oldest || o-t.oldest >= Offset(len(t.digests)) {
		return 0, false
	}
	return t.digests[o-t.oldest], true
}

func (t *trail) add(o Offset, raw []byte) {
	if len(t.digests) == 0 {
		t.digests = append(t.digests, 0)
	}
	t.digests = append(t.digests, chained(t.digests[len(t.digests)-1], o, raw, ""))
	if len(t.digests) == 2*TrailSize {
		t.digests = slices.Clone(t.digests[TrailSize:])
		t.oldest += TrailSize
	}
}
