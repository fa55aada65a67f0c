package journal

import (
	"math/rand/v2"
	"time"
)

// Limits of the pause between two tries at the log.
const (
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 5 * time.Second
)

// Backoff returns the pause after a number of failures in a row, at least 1. It
// is drawn evenly from the whole range, so that hosts that failed together come
// back apart.
func Backoff(failures int, rnd *rand.Rand) time.Duration {
	limit := MaxBackoff
	if shift := failures - 1; shift < 10 {
		limit = min(MinBackoff<<shift, MaxBackoff)
	}
	return time.Duration(rnd.Int64N(int64(limit))) + time.Millisecond
}
