package openai

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// boundedWriter records how much time each write had.
type boundedWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
	least    time.Duration
}

func (w *boundedWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *boundedWriter) Write(p []byte) (int, error) {
	if !w.deadline.IsZero() {
		w.least = min(w.least, time.Until(w.deadline))
	}
	return w.ResponseRecorder.Write(p)
}

// The bound of a flush once held for what was written after a long pause of the engine: more
// than a buffer at once broke the stream off.
func TestEventsAfterALongPauseHaveTimeToBeWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &boundedWriter{ResponseRecorder: httptest.NewRecorder(), least: time.Hour}
		events := newEventWriter(w)
		for range 3 {
			events.writeEvent("1", "token")
			g.Expect(events.flush()).To(Succeed())
			time.Sleep(time.Minute)
		}
		g.Expect(w.least).To(Equal(writeTimeout))
	})
}
