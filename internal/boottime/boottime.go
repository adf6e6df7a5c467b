// Package boottime reads a clock that also counts the time in which the machine was suspended.
// Go's monotonic clock does not, so a lease that is measured by it outlives its end on a machine
// that was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be kept.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
