package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the time from which uptime counts if the boot clock can't be read.
var processStart = time.Now()

// uptime returns the reading of a monotonic clock that also counts the time for which
// the VM is suspended. If that clock can't be read, it returns the time since processStart.
func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}
