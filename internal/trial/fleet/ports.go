package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Ports are chosen below the ephemeral port range of the kernel, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is an offset from firstPort.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// FreeAddress returns a loopback address whose port is currently free.
func FreeAddress() string {
	for {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}
