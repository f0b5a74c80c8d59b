// Package boottime reads the clock that also counts the time while the VM is suspended
// (CLOCK_BOOTTIME). Leases, and ages that a consistency guarantee depends on, are measured
// with it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted. It never decreases.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that can run this program has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
