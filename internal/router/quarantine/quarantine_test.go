package quarantine_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/quarantine"
)

func TestRequestsThatDifferOnlyInTheirPromptsAreNotBlockedTogether(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	guard := quarantine.New(0, func() {}, logrus.NewEntry(log))
	request := func(session string) *server.Request {
		req := &server.Request{Target: "/draft", Body: []byte("{}"), PromptParts: []server.PromptPart{{ID: session}}}
		req.SetDigest()
		return req
	}
	for i := range 4 {
		guard.ServerLost(request(fmt.Sprintf("deadly-%d", i/2)), &server.Server{ID: fmt.Sprintf("e-%d", i)}, 0)
		time.Sleep(60 * time.Millisecond) // not one crash of several servers
	}
	_, refused := guard.Refuses(request("sound"))
	g.Expect(refused).To(BeFalse())
}
