package connlimit

import "sync/atomic"

// Memory is a part of a host's memory that many share. What one has taken stays its own: whoever
// comes when nothing is left gets nothing. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a memory of so many bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take takes n bytes and reports whether they were left. A negative n gives bytes back.
func (m *Memory) Take(n int64) bool {
	for {
		used := m.used.Load()
		if n > 0 && used+n > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Used returns the bytes that are taken.
func (m *Memory) Used() int64 { return m.used.Load() }
