package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/engine"
)

// An engine without these paths once looked idle and without models.
func TestReportsThatAnEngineDoesNotHaveAreErrors(t *testing.T) {
	g := NewWithT(t)
	ts := httptest.NewServer(http.NotFoundHandler())
	defer ts.Close()
	address := strings.TrimPrefix(ts.URL, "http://")
	_, err := engine.New("").Load(context.Background(), address)
	g.Expect(err).To(MatchError(engine.ErrRefused))
	_, err = engine.New("").State(context.Background(), address)
	g.Expect(err).To(MatchError(engine.ErrRefused))
	_, err = engine.New("").AttemptProgress(context.Background(), address, "g", "a")
	g.Expect(err).To(MatchError(engine.ErrUnknownAttempt))
}
