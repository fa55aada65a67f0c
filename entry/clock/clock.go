// Package clock reads the clocks of the machine. Leases are judged on a clock that
// also counts the time in which the machine was suspended.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included, as a time
// that can be compared with other results of Now only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that the program supports; without it the
		// steady clock of the process is the nearest.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

var started = time.Now()

// Wall returns the time of day in Unix milliseconds. It may jump.
func Wall() int64 {
	return time.Now().UnixMilli()
}

// Pause waits, and reports false if the context ended before.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
