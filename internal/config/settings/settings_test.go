package settings_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/settings"
)

func TestExamplesAreValid(t *testing.T) {
	g := NewWithT(t)
	examples := filepath.Join("..", "..", "..", "examples")
	cfg, err := settings.Load(filepath.Join(examples, "host.ini"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cfg.Host.Domain).To(Equal("catania"))
	operator, err := settings.LoadOperator(filepath.Join(examples, "operator.ini"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(operator.Credentials.Admin).NotTo(BeEmpty())
}

func TestErrorsNameFileSectionKeyAndExpectedValue(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", "[Host]\nNam = x\n", `host.ini: [Host] Nam: unknown key; expected one of Name,`},
		{"missing section", "[Host]\n", "host.ini: [Credentials]: section is missing"},
		{"address", "[Host]\nCallerAddress = catania\n", `host.ini: [Host] CallerAddress: "catania" is wrong; expected IP:PORT`},
		{"level", "[Log]\nLevel = loud\n", `host.ini: [Log] Level: "loud" is wrong; expected one of [debug info warning error]`},
		{"same credentials", "[Credentials]\nPeer = a\nAdmin = a\nOrders = b\n", "host.ini: [Credentials]: Peer, Admin and Orders must differ"},
		{"little memory", "[Bounds]\nHostMemory = 100\n", "host.ini: [Bounds] HostMemory: 100 is too small; expected at least 67108864, or 0 for no bound"},
		{"few connections", "[Bounds]\nConnections = 3\n", "host.ini: [Bounds] Connections: 3 is too small; expected at least 16"},
		{"little memory for headers", "[Bounds]\nHeaderMemory = 100\n", "host.ini: [Bounds] HeaderMemory: 100 is too small; expected at least 128 times MaxHeader"},
		{"little memory for what is not read", "[Bounds]\nReceiveMemory = 100\n", "host.ini: [Bounds] ReceiveMemory: 100 is too small; expected at least 8192 for each of Connections"},
		{"invalid syntax", "[Host\n", "host.ini: invalid INI syntax"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("host.ini", []byte(test.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(test.want)))
		})
	}
}
