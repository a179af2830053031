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
		{"invalid syntax", "[Host\n", "host.ini: invalid INI syntax"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("host.ini", []byte(test.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(test.want)))
		})
	}
}
