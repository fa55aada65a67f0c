// Package clock reads the machine's clocks. Leases are measured on the boot-time clock,
// which also advances while the machine is suspended.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspension. The result is comparable only
// with other results of Now.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME. The monotonic clock of the process
		// is the closest fallback.
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

var processStart = time.Now()

// Wall returns the wall clock in Unix milliseconds, which may jump.
func Wall() int64 {
	return time.Now().UnixMilli()
}

// SleepUnlessWoken waits for d or until wake receives. It returns false if the context ends first.
func SleepUnlessWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// Sleep waits for d. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	return SleepUnlessWoken(ctx, d, nil)
}
