package quarantine_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/quarantine"
)

// Only engines that had begun to answer counted against a part.
func TestAPartThatCrashesServersBeforeTheirAnswersIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := newGuard()
		request := func(i int) *server.Request {
			return &server.Request{PromptParts: []server.PromptPart{{ID: "deadly"}, {ID: fmt.Sprintf("s-%d", i)}}}
		}
		for i := range 3 {
			guard.ServerLostUnanswered(request(i), &server.Server{ID: fmt.Sprintf("e-%d", i)})
			time.Sleep(time.Second) // not one crash of several servers
		}
		_, refused := guard.Refuses(request(9))
		g.Expect(refused).To(BeTrue())
	})
}

func newGuard() *quarantine.Guard {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return quarantine.New(0, func() {}, logrus.NewEntry(log))
}

func TestRequestsThatDifferOnlyInTheirPromptsAreNotBlockedTogether(t *testing.T) {
	g := NewWithT(t)
	guard := newGuard()
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
