package gossip_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	decision "wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/ratelimit"
	"wisteriafield/internal/router/sessions"
)

// Any host may send datagrams to the port of a router.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"Host":{"Name":"r","Address":"a:1","Notices":"a:2"},"Version":-1,"Revision":-1,"Loads":{"e":{"DownMs":9}},"AgeMs":-1,"Signs":{"r":-5}}`))
	f.Add([]byte(`{"Run":{"Session":"s","Run":"a"}}`))
	f.Add([]byte(`{"Sends":{"s":{"Firsts":-1,"Repeats":1e300}}}`))
	f.Add([]byte(`{"Crashes":[{"Server":"e/1","Session":"s","Parts":["p",""],"AgeMs":-9},{"AgeMs":9223372036854775807}],"Survived":{"p":-1,"":5}}`))
	f.Add([]byte(`{"Limits":[{"Server":"e/1","PerSecond":2.5,"AgeMs":9},{"Server":"e/1","Lifted":true,"AgeMs":-9},{"PerSecond":-1,"AgeMs":9223372036854775807}]}`))
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &router{servers: registry.New(), role: storereader.Idle}
	net := &network{servers: map[string]*control.Server{}, receive: map[string]func([]byte){}, unreachable: map[string]bool{}}
	r.gossip = gossip.New(gossip.Config{
		Self: gossip.Host{Name: "self", Address: "self:1", DatagramAddress: "self:2"}, Caller: net, Datagrams: net, State: r, Servers: r.servers, Sessions: sessions.NewTable(),
		RetryBudget:        retrybudget.New(retrybudget.Config{Window: time.Second, Routers: func() int { return 2 }}, time.Now()),
		Limits:             ratelimit.New(decision.Config{Self: "self", Peers: func(time.Time) []string { return nil }, Demand: func(string, time.Time) float64 { return 1 }}, log.WithField("part", "limits")),
		Quarantine:         quarantine.New(0, func() {}, log.WithField("part", "quarantine")),
		EngineUnresponsive: func(*registry.Entry) {}, Log: log.WithField("part", "gossip"),
	})
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		r.gossip.Receive(datagram)
		now := time.Now()
		r.gossip.LivePeers(now)
		r.gossip.KnowsLoads(now)
	})
}
