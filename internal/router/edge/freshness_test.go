package edge

import (
	"io"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storehistory"
)

func TestARouterNeverNamesAnOlderVersionThanItsPositionHas(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := New(Config{Log: log, ReadyPath: "/ready", RetryBudget: retrybudget.Config{Window: time.Second}, DecodeConfig: func(value []byte) (routes.Config, error) {
		version, err := strconv.ParseInt(string(value), 10, 64)
		return routes.Config{Version: version}, err
	}})
	const versions = 20_000
	go func() {
		for v := int64(1); v <= versions; v++ {
			e.SetConfig([]byte(strconv.FormatInt(v, 10)), "store")
			e.ObservePeer(freshness.State{Version: v, ConfigAt: storehistory.Position{Revision: v}})
		}
	}()
	for s := e.Freshness(); s.ConfigAt.Revision < versions; s = e.Freshness() {
		g.Expect(s.Version).To(BeNumerically(">=", s.ConfigAt.Revision))
	}
}
