package placing_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/placing"
)

// A datagram may come from any host; no bytes of it may end the process.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		`{"Q":{"F":"p","N":1,"S":"engines","P":5,"O":6,"D":"a","A":["b"]}}`, `{"A":{"F":"p","N":1,"O":[{"E":ENGINE,"R":1}]}}`,
		`{"F":"p","N":[{"I":1,"E":ENGINE,"P":5,"U":6},{"I":1,"E":ENGINE,"X":true,"M":5}]}`, `{"L":{"S":"engines","D":"a"}}`, `{"W":{"E":ENGINE,"M":2000}}`,
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "ENGINE", fmt.Sprint(placing.RefOf(enginetable.Key{ID: "i"})))))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	servers := registry.New()
	servers.Set(storehistory.Position{Revision: 1}, []server.Server{{ID: "i", Service: "engines", Domain: "a"}})
	p := placing.New(placing.Config{
		Self: "self", Servers: servers, Limits: noLimits{}, Checks: &checks{}, Log: log.WithField("part", "placing"),
		Cost:   func(e balance.Engine, _ enginespeed.Speed, p, o int) float64 { return balance.EngineCost(e, p, o) },
		Active: func() bool { return true }, Send: func(string, []byte) error { return nil },
		Peers: func(time.Time) []gossip.Host { return []gossip.Host{{Name: "p", DatagramAddress: "p"}} },
	})
	f.Fuzz(func(_ *testing.T, message []byte) { p.Receive(message) })
}
