package journal

import (
	"math/rand/v2"
	"time"
)

// Limits of the delay between two attempts to reach the log.
const (
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 5 * time.Second
)

// Backoff returns the delay after a number of consecutive failures, at least 1. It is
// drawn uniformly from the whole range (full jitter), so that hosts that failed at the
// same time do not retry at the same time.
func Backoff(failures int, rnd *rand.Rand) time.Duration {
	limit := MaxBackoff
	if shift := failures - 1; shift < 10 {
		limit = min(MinBackoff<<shift, MaxBackoff)
	}
	return time.Duration(rnd.Int64N(int64(limit))) + time.Millisecond
}
