package gossip_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAMessageThatWaitedWhileTheRouterStoodStillConfirmsAsOfBefore(t *testing.T) {
	runRouters(t, 2, func(g *WithT, _ *network, all []*router) {
		confirmedAt := func() time.Time {
			all[0].gossip.Receive([]byte(`{"Host":{"Name":"router-1","Address":"call-1","Notices":"notice-1"},"AgeMs":-1,"Version":0,"Revision":0,"ConfirmedMs":0}`))
			all[0].mu.Lock()
			defer all[0].mu.Unlock()
			return all[0].fresh.ConfirmedAt()
		}
		time.Sleep(time.Second)
		before := time.Now()
		g.Expect(confirmedAt()).To(Equal(before))
		const pause = 3 * time.Second
		all[0].gossip.Alive(before.Add(pause)) // the next sign of a router that stood still
		time.Sleep(pause)
		g.Expect(confirmedAt()).To(Equal(before))
		time.Sleep(time.Second)
		g.Expect(confirmedAt()).To(Equal(time.Now()))
	})
}
