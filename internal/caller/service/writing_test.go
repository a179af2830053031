package service

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/decision/claim"
)

// boundedWriter records the bound of the writing at its first write.
type boundedWriter struct {
	*httptest.ResponseRecorder
	set, atWrite time.Time
}

func (w *boundedWriter) SetWriteDeadline(t time.Time) error {
	w.set = t
	return nil
}

func (w *boundedWriter) Write(p []byte) (int, error) {
	w.atWrite = w.set
	return w.ResponseRecorder.Write(p)
}

// A caller that read nothing held the answer of its call without end.
func TestAnswersAreNotWrittenWithoutEnd(t *testing.T) {
	for name, write := range map[string]func(w *boundedWriter){
		"idempotent": func(w *boundedWriter) { writeAnswer(w, &backend.Answer{Status: 200, Body: []byte("x")}) },
		"non-idempotent": func(w *boundedWriter) {
			result{outcome: &claim.Outcome{Status: 200, Body: []byte("x")}}.write(w)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := &boundedWriter{ResponseRecorder: httptest.NewRecorder()}
			write(w)
			g.Expect(w.atWrite).To(BeTemporally("~", time.Now().Add(30*time.Second), 5*time.Second))
		})
	}
}
