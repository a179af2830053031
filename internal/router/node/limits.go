package node

import (
	"math"
	"syscall"

	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/decision/connlimit"
)

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
