package node

import (
	"math"
	"runtime/debug"
	"syscall"

	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/decision/connlimit"
)

// memoryLimitShare is the share of the host's memory that becomes the runtime's soft limit. The rest
// is for what the runtime does not count and for what is allocated while it collects.
const memoryLimitShare = 0.5

// limitMemory makes the runtime collect more often as the host's memory fills up.
func limitMemory(b settings.Bounds) {
	if b.HostMemory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(b.HostMemory)))
	}
}

// callerLimits returns the limits of callers' connections. They leave descriptors of the process
// for other connections.
func callerLimits(b settings.Bounds) http1.Limits {
	connections := b.Connections
	if n := connlimit.MaxConnections(0, maxDescriptors()); n > 0 {
		connections = min(connections, n)
	}
	return http1.Limits{
		Connections:  connections,
		ReceiveBytes: connlimit.ReceiveBytes(int64(b.ReceiveMemory), connections),
		HeaderMemory: connlimit.NewMemory(int64(b.HeaderMemory)),
	}
}

// maxDescriptors returns how many descriptors this process may have, 0 if that is not known.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
