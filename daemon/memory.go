package daemon

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"berylpass/caller/listener"
	"berylpass/caller/memory"
	"berylpass/caller/memory/holder"
	"berylpass/config/settings"
	"berylpass/config/snapshot"
	"berylpass/monitor/event"
)

const (
	// defaultMemory is the memory in bytes of a daemon whose settings name none, or half of the
	// VM's if that is less: the rest belongs to the backend server.
	defaultMemory = 256 << 20
	// headSlack is added to the operators' timeout for heads, for the time a head takes from the
	// caller to the daemon.
	headSlack = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After, in seconds, of a request that found no memory: callers
	// that are behind are closed within memory.Grace.
	memoryRetryAfter = "1"
)

// MemoryParts returns how the memory that the settings grant is divided.
func MemoryParts(l settings.Limits) memory.Parts {
	if l.Memory > 0 {
		return memory.Divide(l.Memory)
	}
	return memory.Divide(min(defaultMemory, machineMemory()/2))
}

// machineMemory returns the memory of the VM in bytes, or twice defaultMemory if it isn't known.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 2 * defaultMemory
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kib, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kib > 0 {
			return kib << 10
		}
	}
	return 2 * defaultMemory
}

// descriptorsOf returns the number of file descriptors that the daemon may use.
func descriptorsOf(l settings.Limits) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		limit.Cur = 1 << 20
	}
	if l.Descriptors > 0 {
		return min(l.Descriptors, int(limit.Cur))
	}
	return int(limit.Cur)
}

// callerConnections returns the number of callers' connections that may be open at once. The
// daemon's own connections keep a quarter of the descriptors.
func callerConnections(l settings.Limits) int {
	byMemory := int(MemoryParts(l).Connections / memory.ConnectionBytes)
	return max(min(l.CallerConnections, descriptorsOf(l)*3/4, byMemory), 1)
}

// startMemory sets up the memory for requests and answers, which all ports share.
func (d *Daemon) startMemory() {
	parts := MemoryParts(d.settings.Limits)
	d.memory = holder.NewBook(parts).WithObserver(memoryObserver{d.observer})
	for name, value := range map[string]func() int64{
		`memory-used{part="heads"}`:      func() int64 { return d.memory.Used(memory.Heads) },
		`memory-used{part="exchanges"}`:  func() int64 { return d.memory.Used(memory.Exchanges) },
		`memory-limit{part="heads"}`:     func() int64 { return parts.Heads },
		`memory-limit{part="exchanges"}`: func() int64 { return parts.Exchanges },
		"memory-waiting":                 func() int64 { return int64(d.memory.Waiting()) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, value)
	}
}

// memoryObserver logs and counts what the memory decides.
type memoryObserver struct{ observer *observer }

// HolderClosed implements holder.Observer.
func (m memoryObserver) HolderClosed(held, behind int64) {
	m.observer.count("memory-closed-connections")
	event.LaggardClosed.Log(&m.observer.logger).Int64("held", held).Int64("behind", behind).Send()
}

// ReservationRefused implements holder.Observer.
func (m memoryObserver) ReservationRefused(bytes int64) {
	m.observer.count("memory-refusals")
	event.MemoryFull.Log(&m.observer.logger).Int64("bytes", bytes).Send()
}

// connectionEvicted is called when a caller's connection was closed to make room for another.
func (d *Daemon) connectionEvicted() {
	d.observer.count("evicted-connections")
	event.ConnectionEvicted.Log(&d.logger).Send()
}

// applyTimeouts makes the callers' port use the timeouts of a snapshot.
func (d *Daemon) applyTimeouts(s snapshot.Snapshot) {
	head, idle := listener.DefaultHeadTimeout, listener.DefaultIdleTimeout
	if s.HeadTimeout > 0 {
		head = s.HeadTimeout + headSlack
	}
	if s.IdleTimeout > 0 {
		idle = s.IdleTimeout
	}
	if callers := d.startedCallers.Load(); callers != nil {
		callers.SetTimeouts(head, idle)
	}
}
