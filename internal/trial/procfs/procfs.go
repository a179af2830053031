// Package procfs reads the resource usage of a process from /proc.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const clockTicksPerSecond = 100 // unit of the CPU times in /proc/PID/stat

// Usage is the resource usage of a process: its memory now, the rest since its start.
type Usage struct {
	CPU      float64 // seconds
	Memory   float64 // resident set size in MB
	Bytes    float64 // bytes read and written, including sockets
	Syscalls float64 // read and write system calls
}

// ReadUsage returns the usage of a process, or zero values if it has ended.
func ReadUsage(pid int) Usage {
	return Usage{CPU: cpuSeconds(pid), Memory: residentMB(pid), Bytes: sumIO(pid, "rchar:", "wchar:"), Syscalls: sumIO(pid, "syscr:", "syscw:")}
}

func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	return (parseNumber(fields[11]) + parseNumber(fields[12])) / clockTicksPerSecond
}

func residentMB(pid int) float64 { return field(pid, "status", "VmRSS:") / 1024 }

func sumIO(pid int, names ...string) float64 {
	var n float64
	for _, name := range names {
		n += field(pid, "io", name)
	}
	return n
}

func field(pid int, file, name string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, name); ok {
			return parseNumber(strings.Fields(v)[0])
		}
	}
	return 0
}

func parseNumber(s string) float64 {
	v, _ := strconv.ParseFloat(s, 64)
	return v
}
