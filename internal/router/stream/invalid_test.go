package stream_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/stream"
	"wisteriafield/internal/trial/truncate"
)

// net/http accepts versions that nobody speaks.
func TestAKeepersAnswerWithAnInvalidStatusLineHasNoEvents(t *testing.T) {
	g := NewWithT(t)
	s := truncate.NewServer(t)
	for _, line := range append(truncate.InvalidStatusLines(), truncate.MalformedStatusLines()...) {
		s.Set(truncate.Sized(line, "", `{"K":"Done","Reason":"stop"}`+"\n"), truncate.Close)
		_, err := stream.NewClient("").Start(s.Address, keeper.Request{Generation: "g", Attempt: "a"})
		g.Expect(err).To(MatchError(stream.ErrUnreachable), line)
		_, err = stream.NewClient("").Follow(s.Address, "g", "florist")
		g.Expect(err).To(MatchError(stream.ErrUnreachable), line)
		g.Expect(stream.NewClient("").Cancel(s.Address, "a")).NotTo(Succeed(), line)
	}
}
