package hosts_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/trial/truncate"
)

func TestAListThatEndsAtAnyByteChangesNothing(t *testing.T) {
	const text = `{"Revision":71,"Hosts":[{"Name":"a","State":"Live"},{"Name":7},{"Name":"z","State":"Live"}]}`
	answers := truncate.Framings("200 OK", "Content-Type: application/json\r\n", text)
	answers["connection"] = truncate.Unframed("200 OK", "Content-Type: application/json\r\n", text)
	for framing, answer := range answers {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := truncate.NewServer(t)
			s.EachPrefix(answer, func(prefix string, end truncate.End) {
				list := hosts.New(hosts.Config{Address: s.Address})
				g.Expect(list.Fetch(context.Background(), time.Millisecond)).NotTo(Succeed(), "%s after %q", end, prefix)
				g.Expect(list.All()).To(BeEmpty())
			})
			s.Set(answer, truncate.Close)
			list := hosts.New(hosts.Config{Address: s.Address})
			g.Expect(list.Fetch(context.Background(), time.Millisecond)).To(Succeed(), "whole")
			g.Expect(list.All()).To(HaveLen(2))
		})
	}
}
