// Package jsonlog writes structured logs as lines of JSON without ever making
// the writer wait: what the reader does not take in time is dropped and counted.
package jsonlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// queued lines are kept for a slow reader; some 200 bytes each.
	queued = 2048
	// perSecond bounds the volume: some 40 KB a second of lines of 200 bytes. A
	// router with 30 requests a second writes about 100 lines.
	perSecond = 200
	// maxLine bounds one line, in bytes.
	maxLine = 4 << 10
)

var droppedTotal = metrics.NewCounter("wisteriafield_log_lines_dropped_total")

// Sink is a writer that never blocks.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64 // Unix second that written counts for
	written atomic.Int64
	told    int64 // dropped lines that the log itself told of
}

// NewSink returns a sink that writes to w from a goroutine of its own.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queued)}
	go s.run(w)
	return s
}

var _ io.Writer = (*Sink)(nil)

// Write queues a line, or drops it.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p[:min(len(p), maxLine)]...)
	if !s.within(time.Now().Unix()) {
		s.drop()
		return len(p), nil
	}
	select {
	case s.lines <- line:
	default:
		s.drop()
	}
	return len(p), nil
}

// within reports whether the second has room for one more line.
func (s *Sink) within(second int64) bool {
	if s.second.Swap(second) != second {
		s.written.Store(0)
	}
	return s.written.Add(1) <= perSecond
}

func (s *Sink) drop() {
	s.dropped.Add(1)
	droppedTotal.Inc()
}

// Flush waits until what is queued was written, or until a time.
func (s *Sink) Flush(deadline time.Time) {
	for len(s.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run(w io.Writer) {
	for line := range s.lines {
		if dropped := s.dropped.Load(); dropped > s.told {
			line = append(fmt.Appendf(nil, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"lines\":%d}\n", dropped-s.told), line...)
			s.told = dropped
		}
		if _, err := w.Write(line); err != nil {
			s.drop()
		}
	}
}

// New returns a logger that writes to a sink.
func New(sink *Sink) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return log
}
