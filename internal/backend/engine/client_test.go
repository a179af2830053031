package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/decision/generation"
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

// A stream had broken off, and the next engine answered with an error's text.
func TestAnErrorsTextIsNoTokenOfAStream(t *testing.T) {
	for _, text := range []string{
		"", "overloaded\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "null\n", "{}\n", "7\n", `{"error":"full"}` + "\n", `{"Position":8.5,"Text":"a"}` + "\n",
		`{"Position":-1,"Text":"a"}` + "\n", `{"Position":1e999,"Text":"a"}` + "\n", `{"Position":9,"Text":"a"}` + "\n", strings.Repeat("[", 60_000) + "\n", strings.Repeat("x", 1<<20),
	} {
		g := NewWithT(t)
		ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
		stream, err := engine.New("").Generate(context.Background(), strings.TrimPrefix(ts.URL, "http://"), engine.Request{Generation: "g", Attempt: "a2"})
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := generation.New("g", []generation.Segment{{Attempt: "a1", Start: 1, Tokens: strings.Split("1234567", "")}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Open("a2")).To(Succeed())
		for {
			line, err := stream.Next()
			if err != nil {
				break
			}
			g.Expect(line.Done).To(BeEmpty(), "%.100q", text)
			g.Expect(answer.Accept(generation.Token{Generation: "g", Attempt: "a2", Position: line.Position, Text: line.Text})).NotTo(Equal(generation.Accepted), "%.100q", text)
		}
		stream.Close()
		ts.Close()
	}
}
