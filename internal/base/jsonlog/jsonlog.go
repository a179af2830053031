// Package jsonlog writes structured logs as lines of JSON without ever blocking those who
// log: lines that the reader of the output does not read in time are dropped and counted.
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
	// maxQueuedLines is the capacity of the queue for a slow reader. A line has some 200
	// bytes.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the volume to some 40 KB a second of lines of 200 bytes. A
	// router with 30 requests a second writes about 100 lines a second.
	maxLinesPerSecond = 200
	// maxLineBytes is the length at which a line is truncated.
	maxLineBytes = 4 << 10
)

var droppedTotal = metrics.NewCounter("wisteriafield_log_lines_dropped_total")

// Sink is a writer that never blocks.
type Sink struct {
	lines           chan []byte
	pending         atomic.Int64 // lines that are queued or being written
	dropped         atomic.Int64
	currentSecond   atomic.Int64 // Unix time of the second that linesInSecond counts
	linesInSecond   atomic.Int64
	reportedDropped int64 // dropped lines that the log has reported
}

// NewSink returns a sink that writes to w in its own goroutine.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines)}
	go s.run(w)
	return s
}

var _ io.Writer = (*Sink)(nil)

// Write queues a line, or drops it if the queue or the second's volume is full. It never
// fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p[:min(len(p), maxLineBytes)]...)
	if !s.allow(time.Now().Unix()) {
		s.countDropped()
		return len(p), nil
	}
	s.pending.Add(1)
	select {
	case s.lines <- line:
	default:
		s.pending.Add(-1)
		s.countDropped()
	}
	return len(p), nil
}

// allow counts a line and reports whether it is within the volume of its second.
func (s *Sink) allow(second int64) bool {
	if s.currentSecond.Swap(second) != second {
		s.linesInSecond.Store(0)
	}
	return s.linesInSecond.Add(1) <= maxLinesPerSecond
}

func (s *Sink) countDropped() {
	s.dropped.Add(1)
	droppedTotal.Inc()
}

// Flush waits until all lines are written, or until the deadline.
func (s *Sink) Flush(deadline time.Time) {
	for s.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run(w io.Writer) {
	for line := range s.lines {
		if dropped := s.dropped.Load(); dropped > s.reportedDropped {
			line = append(fmt.Appendf(nil, "{\"part\":\"log\",\"msg\":\"lines dropped\",\"lines\":%d}\n", dropped-s.reportedDropped), line...)
			s.reportedDropped = dropped
		}
		if _, err := w.Write(line); err != nil {
			s.countDropped()
		}
		s.pending.Add(-1)
	}
}

// New returns a logger that writes JSON to a sink.
func New(sink *Sink) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(sink)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return log
}
