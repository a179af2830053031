package stream_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/stream"
	"wisteriafield/internal/trial/truncate"
)

// The answer of a keeper that did not read the whole prompt was lost if a write failed first.
func TestAKeepersAnswerToAPartOfARequestIsNotLost(t *testing.T) {
	g := NewWithT(t)
	address := truncate.NewEarlyServer(t, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", truncate.Reset)
	for range 200 {
		_, err := stream.NewClient("").Start(address, keeper.Request{Generation: "g", Attempt: "a", Prompt: strings.Repeat("x", 55<<10)})
		g.Expect(err).To(MatchError(keeper.ErrUnknownGeneration))
	}
}

func TestAKeepersStreamThatAResetEndsHasNoLastEvent(t *testing.T) {
	g := NewWithT(t)
	address := truncate.NewEarlyServer(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"K":"Started","A":"a"}`+"\n"+`{"K":"Done","Reason":"st`, truncate.Reset)
	for range 50 {
		g.Expect(lastEvent(stream.NewClient("").Start(address, keeper.Request{Generation: "g", Attempt: "a", Prompt: strings.Repeat("x", 4<<20)}))).NotTo(Equal(keeper.Done))
	}
}
