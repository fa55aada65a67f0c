package journal

import "slices"

// HistorySize is the minimum number of offsets whose digests a full history keeps.
const HistorySize = 4096

// digestHistory keeps the digests of a stream's records at its last offsets.
type digestHistory struct {
	// oldest is the offset of digests[0].
	oldest Offset
	// digests holds the digest up to each offset from oldest to the next one. A full
	// history has HistorySize to 2*HistorySize entries; that of a stream without records
	// has none.
	digests []uint64
}

// newDigestHistory returns a history that holds the digest at one offset only.
func newDigestHistory(next Offset, digest uint64) digestHistory {
	return digestHistory{oldest: next, digests: []uint64{digest}}
}

func (h *digestHistory) digestAt(o Offset) (digest uint64, known bool) {
	if o == 0 && h.oldest == 0 {
		return 0, true
	}
	if o < h.oldest || o-h.oldest >= Offset(len(h.digests)) {
		return 0, false
	}
	return h.digests[o-h.oldest], true
}

func (h *digestHistory) add(o Offset, raw []byte) {
	if len(h.digests) == 0 {
		h.digests = append(h.digests, 0)
	}
	h.digests = append(h.digests, chainDigest(h.digests[len(h.digests)-1], o, raw, ""))
	if len(h.digests) == 2*HistorySize {
		h.digests = slices.Clone(h.digests[HistorySize:])
		h.oldest += HistorySize
	}
}
