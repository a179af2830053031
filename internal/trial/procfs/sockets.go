package procfs

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

// listening is the state of a listener in /proc/net/tcp.
const listening = "0A"

// Descriptors returns the number of files and connections that a process has open, 0 if it has
// ended.
func Descriptors(pid int) int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(open)
}

// Peak returns the largest resident set that a process ever had, in bytes, 0 if it has ended.
func Peak(pid int) int64 { return int64(field(pid, "status", "VmHWM:")) << 10 }

// Unread returns the bytes that the kernel has received on the connections to a listener and that
// its process has not read, those of connections that are not accepted yet included.
func Unread(listener netip.AddrPort) (int64, error) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("read sockets: %w", err)
	}
	defer f.Close()
	address := listener.Addr().As4()
	// The kernel prints an address as a number in the order of the host.
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(address[:]), listener.Port())
	var sum int64
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("read sockets: %w", err)
		}
		sum += n
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("read sockets: %w", err)
	}
	return sum, nil
}
