package journal

// TrailSize is how many of the last offsets have their digest remembered.
const TrailSize = 4096

// trail remembers the digest of a stream's records at its last offsets.
type trail struct {
	// digests[o%TrailSize] is the digest up to offset o for every o from oldest
	// to next.
	digests [TrailSize]uint64
	oldest  Offset
	next    Offset
}

// newTrail returns a trail that knows one offset only.
func newTrail(next Offset, digest uint64) trail {
	t := trail{oldest: next, next: next}
	t.digests[next%TrailSize] = digest
	return t
}

func (t *trail) at(o Offset) (digest uint64, known bool) {
	if o < t.oldest || o > t.next {
		return 0, false
	}
	return t.digests[o%TrailSize], true
}

func (t *trail) add(o Offset, raw []byte) {
	before := t.digests[o%TrailSize]
	t.next = o + 1
	t.digests[t.next%TrailSize] = chained(before, o, raw, "")
	t.oldest = max(t.oldest, t.next-TrailSize+1)
}
