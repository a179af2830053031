package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

// Ports are chosen below the ephemeral port range of the kernel, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
	// blockPorts is how many ports a process has for itself, so that no other one takes the
	// address of a server while it is down.
	blockPorts = 500
	blocks     = (lastPort - firstPort) / blockPorts
)

var (
	// nextPort is an offset from the first port of the process.
	nextPort atomic.Int64
	// claim is kept until the process ends.
	claim = sync.OnceValue(claimPorts)
)

// portBlock is a range of ports of a process. Its first port is held, and never handed out.
type portBlock struct {
	first, count int64
	held         net.Listener // nil if the range is shared
}

// claimPorts claims a range that no other process has. If there is none, it returns the whole range,
// which is shared, with a random start.
func claimPorts() portBlock {
	start := rand.Int64N(blocks)
	for i := range int64(blocks) {
		first := firstPort + (start+i)%blocks*blockPorts
		if ln, err := net.Listen("tcp", loopback(first)); err == nil {
			return portBlock{first + 1, blockPorts - 1, ln}
		}
	}
	nextPort.Store(rand.Int64N(lastPort - firstPort))
	return portBlock{firstPort, lastPort - firstPort, nil}
}

func loopback(port int64) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// FreeAddress returns a loopback address whose port is currently free.
func FreeAddress() string {
	block := claim()
	for {
		address := loopback(block.first + nextPort.Add(1)%block.count)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}
