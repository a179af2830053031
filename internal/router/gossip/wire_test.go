package gossip_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/gossip"
	"wisteriafield/internal/router/sessions"
)

// Routers of two releases exchange messages during an upgrade, and read each other's host
// entries in the store, so the encoded names must not change.
func TestEncodedNamesStay(t *testing.T) {
	host := gossip.Host{Name: "r", Domain: "a", Address: "1.1.1.1:1", DatagramAddress: "1.1.1.1:2", Started: 3, LinkMbps: 4}
	const encodedHost = `{"Name":"r","Domain":"a","Address":"1.1.1.1:1","Notices":"1.1.1.1:2","Started":3,"LinkMbps":4}`
	for _, c := range []struct {
		value any
		want  string
	}{
		{host, encodedHost},
		{gossip.Message{
			Host: host, Peers: []gossip.Host{host}, Version: 5, Revision: 6, Loads: map[string]registry.Share{"e": {DownMs: 7}},
			Stopping: true, ReadsStore: true, StoreAgeMs: 8, Heartbeats: map[string]int64{"p": 9},
			Attempts: map[string]retrybudget.Counts{}, SessionRecord: &sessions.Record{},
		}, `{"Host":` + encodedHost + `,"Peers":[` + encodedHost + `],"Version":5,"Revision":6,"Loads":{"e":{"DownMs":7}},` +
			`"Stopping":true,"Reads":true,"AgeMs":8,"Signs":{"p":9},"Run":{"Session":"","Run":"","Server":"","Backup":""}}`},
		{gossip.Message{}, `{"Host":{"Name":"","Domain":"","Address":"","Notices":"","Started":0},"Version":0,"Revision":0,"AgeMs":0}`},
		{gossip.Message{StoreFailing: true}, `{"Host":{"Name":"","Domain":"","Address":"","Notices":"","Started":0},"Version":0,"Revision":0,"StoreFailing":true,"AgeMs":0}`},
		{gossip.Message{ConfirmedMs: new(int64), ConfigAt: &storehistory.Position{Era: 2, Revision: 3}}, `{"Host":{"Name":"","Domain":"","Address":"","Notices":"","Started":0},` +
			`"Version":0,"Revision":0,"AgeMs":0,"ConfirmedMs":0,"ConfigAt":{"Era":2,"Revision":3}}`},
		{gossip.Message{Attempts: map[string]retrybudget.Counts{"s": {}}}, `{"Host":{"Name":"","Domain":"","Address":"","Notices":"","Started":0},` +
			`"Version":0,"Revision":0,"AgeMs":0,"Sends":{"s":{"Firsts":0,"Repeats":0}}}`},
		{gossip.Message{Placement: []byte(`{"N":[]}`)}, `{"Host":{"Name":"","Domain":"","Address":"","Notices":"","Started":0},"Version":0,"Revision":0,"AgeMs":0,"Pl":{"N":[]}}`},
		{gossip.Message{Era: 2, StoreEra: 3}, `{"Host":{"Name":"","Domain":"","Address":"","Notices":"","Started":0},"Version":0,"Revision":0,"Era":2,"StoreEra":3,"AgeMs":0}`},
		{gossip.ConfigReply{Compressed: []byte("c"), Busy: true}, `{"Packed":"Yw==","Busy":true}`},
		{gossip.ServersRequest{Revision: 1}, `{"Revision":1}`},
		{gossip.ServersReply{Revision: 1, Full: true, Busy: true}, `{"Revision":1,"Values":null,"Whole":true,"Busy":true}`},
		{gossip.ServersRequest{Revision: 1, Era: 2}, `{"Revision":1,"Era":2}`},
		{gossip.ServersReply{Revision: 1, Era: 2}, `{"Revision":1,"Era":2,"Values":null,"Whole":false,"Busy":false}`},
		{gossip.ServersReply{Gap: &storehistory.Gap{To: storehistory.Position{Era: 2, Revision: 3}}},
			`{"Revision":0,"Values":null,"Whole":false,"Gap":{"From":{"Revision":0},"To":{"Era":2,"Revision":3}},"Busy":false}`},
		{gossip.SessionRequest{Request: "s"}, `{"Session":"s"}`},
		{gossip.LendRequest{Service: "s", Retries: 1, Routers: 2}, `{"Service":"s","Retries":1,"Routers":2}`},
		{gossip.LendReply{Retries: 1}, `{"Retries":1}`},
		{gossip.SessionReply{Found: true}, `{"Found":true,"Record":{"Session":"","Run":"","Server":"","Backup":""}}`},
	} {
		g := NewWithT(t)
		encoded, err := json.Marshal(c.value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(encoded)).To(Equal(c.want))
	}
}
