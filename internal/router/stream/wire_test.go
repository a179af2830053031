package stream

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/keeper"
)

func TestALossBySilenceIsToldToTheEntry(t *testing.T) {
	g := NewWithT(t)
	for _, silent := range []bool{true, false} {
		data, err := json.Marshal(newEventLine(keeper.Event{Kind: keeper.Lost, Server: "engine", Silent: silent}))
		g.Expect(err).NotTo(HaveOccurred())
		var line eventLine
		g.Expect(json.Unmarshal(data, &line)).To(Succeed())
		g.Expect(line.event("g")).To(Equal(keeper.Event{Kind: keeper.Lost, Server: "engine", Silent: silent}))
	}
}
