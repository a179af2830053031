package gossip_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/gossip"
)

const validHost = `{"Name":"r","Domain":"a","Address":"10.0.0.1:81","Notices":"10.0.0.1:82","Started":3,"LinkMbps":4}`

// A router called whatever another writer had left among the routers' entries.
func TestAnOddHostEntryIsNoPeer(t *testing.T) {
	g := NewWithT(t)
	h, err := gossip.DecodeHost([]byte(validHost))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h).To(Equal(gossip.Host{Name: "r", Domain: "a", Address: "10.0.0.1:81", DatagramAddress: "10.0.0.1:82", Started: 3, LinkMbps: 4}))
	replace := func(old, new string) string { return strings.Replace(validHost, old, new, 1) }
	for _, invalid := range []string{
		"", "null", "7", "[]", "{}", "\xff", strings.Repeat("[", 1_000_000), replace(`"r"`, `""`), replace(`"r"`, `"`+strings.Repeat("r", 300)+`"`),
		replace("10.0.0.1:81", "here:81"), replace("10.0.0.1:81", ""), replace("10.0.0.1:81", "10.0.0.1:0"), replace("10.0.0.1:81", "10.0.0.1:65536"), replace("10.0.0.1:81", "0.0.0.0:81"),
		replace("10.0.0.1:82", "224.0.0.1:82"), replace("10.0.0.1:82", "[fe80::1%eth0]:82"), replace("10.0.0.1:82", ""),
		replace(":3", ":1e99"), replace(":3", ":3.5"), replace(":4", ":-1"), replace(":4", ":1e999"),
	} {
		_, err := gossip.DecodeHost([]byte(invalid))
		g.Expect(err).To(HaveOccurred(), "%.100s", invalid)
	}
}

func FuzzDecodeHost(f *testing.F) {
	f.Add([]byte(validHost))
	f.Add([]byte(`{"Name":"r","Address":"[::1%0]:65536","Notices":"1.1.1.1:1","LinkMbps":1e999}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if h, err := gossip.DecodeHost(value); err == nil && (h.Name == "" || h.Address == "" || h.DatagramAddress == "" || h.LinkMbps < 0) {
			t.Fatalf("%q names no host: %+v", value, h)
		}
	})
}
