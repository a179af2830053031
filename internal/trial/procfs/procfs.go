// Package procfs reads what a process has used from /proc.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const clockTicks = 100 // a second

// Usage is what a process has used so far.
type Usage struct {
	CPU      float64 // seconds
	Memory   float64 // resident, MB
	Bytes    float64 // read and written, sockets included
	Syscalls float64 // reads and writes
}

// ReadUsage returns the usage of a process; zero if it is gone.
func ReadUsage(pid int) Usage {
	return Usage{CPU: cpu(pid), Memory: memory(pid), Bytes: sum(pid, "rchar:", "wchar:"), Syscalls: sum(pid, "syscr:", "syscw:")}
}

func cpu(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	return (number(fields[11]) + number(fields[12])) / clockTicks
}

func memory(pid int) float64 { return field(pid, "status", "VmRSS:") / 1024 }

func sum(pid int, names ...string) float64 {
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
			return number(strings.Fields(v)[0])
		}
	}
	return 0
}

func number(s string) float64 {
	v, _ := strconv.ParseFloat(s, 64)
	return v
}
