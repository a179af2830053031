package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Ports are taken from below the range from which the kernel gives ports to
// outgoing connections, so that none is lost between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// FreeAddress returns a loopback address whose port is free now.
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
