package http1

import (
	"bytes"
	"net/http"

	"wisteriafield/internal/decision/connlimit"
)

const (
	// A header line and a byte of it take about so many bytes until the request is answered:
	// net/http keeps the lines in a map, and a second one holds what is passed on.
	headerLineBytes  = 256
	headerByteFactor = 4
	// freeHeaderBytes is what does not count of a header. Most headers take less.
	freeHeaderBytes = 16 << 10
)

// headerMeter counts what the header of a request takes of the memory, from its first byte on.
type headerMeter struct {
	memory   *connlimit.Memory // nil without a bound
	size     int               // bytes that the header takes
	counted  int               // bytes of these that count
	lineEnds bool              // the last byte ended a line
	complete bool              // the empty line has arrived
}

// begin begins to count the header of a request.
func (m *headerMeter) begin() {
	m.end()
	m.lineEnds = true
}

// read counts the bytes of a header that were read. It returns false if there is no memory.
func (m *headerMeter) read(p []byte) bool {
	n := 0
	for len(p) > 0 && !m.complete {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			n += headerByteFactor * len(p)
			m.lineEnds = false
			break
		}
		n += headerLineBytes + headerByteFactor*(i+1)
		empty := i == 0 || i == 1 && p[0] == '\r'
		m.complete = empty && m.lineEnds
		m.lineEnds = true
		p = p[i+1:]
	}
	return m.resize(m.size + n)
}

// settle counts a complete header by its lines: the bytes that were read may hold more than it. It
// returns false if there is no memory.
func (m *headerMeter) settle(r *http.Request) bool {
	n := headerByteFactor * (len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += headerLineBytes + headerByteFactor*(len(name)+len(v))
		}
	}
	return m.resize(n)
}

// resize sets what the header takes. It returns false, and changes nothing, if there is no memory.
func (m *headerMeter) resize(size int) bool {
	if m.memory == nil {
		return true
	}
	counted := max(0, size-freeHeaderBytes)
	if !m.memory.Take(int64(counted - m.counted)) {
		return false
	}
	m.size, m.counted = size, counted
	return true
}

// end gives the memory back.
func (m *headerMeter) end() {
	m.resize(0)
	*m = headerMeter{memory: m.memory}
}
