package control_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/control"
	"wisteriafield/internal/trial/truncate"
)

// net/http accepts versions that nobody speaks.
func TestAnUpgradeWithAnInvalidStatusLineIsNone(t *testing.T) {
	g := NewWithT(t)
	for _, line := range append(truncate.InvalidStatusLines(), truncate.MalformedStatusLines()...) {
		line = strings.Replace(line, " 200 OK", " 101 Switching Protocols", 1)
		upgrade := line + strings.TrimPrefix(upgradeAnswer, "HTTP/1.1 101 Switching Protocols")
		address := serveAnswers(t, upgrade, func() int { return 1 << 10 }, false)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		var reply int
		err := control.NewClient("").Call(ctx, address, "Wait", 0, &reply)
		cancel()
		g.Expect(err).To(MatchError(control.ErrUnreachable), line)
	}
}
