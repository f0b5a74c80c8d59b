// Package boottime reads the clock that also counts the time for which the VM
// was suspended. Ages and leases that guard a promise are measured with it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started. It never goes back.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that runs this program.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
