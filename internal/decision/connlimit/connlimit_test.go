package connlimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/connlimit"
)

// Connections are ended in the order of what their callers lose; one in use never is.
func TestTheLeastLossIsChosenFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	conns := []connlimit.Conn{
		{State: connlimit.InUse, Since: at(60_000)},
		{State: connlimit.Incomplete, Since: at(300)},
		{State: connlimit.Incomplete, Since: at(900)},
		{State: connlimit.Incomplete, Since: at(1)},
		{State: connlimit.Idle, Since: at(5000)},
		{State: connlimit.Idle, Since: at(100)},
		{State: connlimit.New, Since: at(160)},
		{State: connlimit.New, Since: at(10)},
	}
	chosen, next := connlimit.Choose(conns, 10, now)
	g.Expect(chosen).To(Equal([]int{6, 4, 2, 1}))
	g.Expect(next).To(And(BeTemporally(">", now), BeTemporally("<", now.Add(20*time.Millisecond))), "of the newest")
	chosen, _ = connlimit.Choose(conns, 2, now)
	g.Expect(chosen).To(Equal([]int{6, 4}))
	chosen, next = connlimit.Choose(conns[:1], 2, now)
	g.Expect(chosen).To(BeEmpty())
	g.Expect(next).To(BeZero(), "a connection in use never ends")
}

// Connections end before the limit is reached, and after that enough for some others to come.
func TestConnectionsEndBeforeThereIsNoRoom(t *testing.T) {
	g := NewWithT(t)
	g.Expect(connlimit.Excess(1000, 0)).To(BeZero(), "no limit")
	for limit := 16; limit < 3000; limit++ {
		g.Expect(connlimit.Excess(limit/2, limit)).To(BeZero())
		n := connlimit.Excess(limit, limit)
		g.Expect(connlimit.Excess(limit-n, limit)).To(BeZero())
		g.Expect(n).To(BeNumerically("<", limit/4+2))
	}
}

func ExampleMaxConnections() {
	fmt.Println(connlimit.MaxConnections(284<<20, 3900))
	fmt.Println(connlimit.MaxConnections(64<<20, 0))
	fmt.Println(connlimit.MaxConnections(0, 1000))
	fmt.Println(connlimit.MaxConnections(0, 0))
	// Output:
	// 1560
	// 512
	// 400
	// 0
}

func ExampleReceiveBytes() {
	memory := connlimit.ReceiveMemory(284 << 20)
	fmt.Println(connlimit.ReceiveBytes(memory, 1560))
	fmt.Println(connlimit.ReceiveBytes(memory, 100))
	fmt.Println(connlimit.ReceiveBytes(0, 100))
	// Output:
	// 47723
	// 131072
	// 0
}

func TestMemoryIsTakenUpToItsLimit(t *testing.T) {
	g := NewWithT(t)
	m := connlimit.NewMemory(100)
	g.Expect(m.Take(60)).To(BeTrue())
	g.Expect(m.Take(41)).To(BeFalse())
	g.Expect(m.Take(40)).To(BeTrue())
	g.Expect(m.Take(0)).To(BeTrue())
	g.Expect(m.Take(-70)).To(BeTrue())
	g.Expect(m.Used()).To(Equal(int64(30)))
}
