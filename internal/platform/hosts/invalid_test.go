package hosts_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/trial/truncate"
)

// net/http accepts versions that nobody speaks.
func TestAListWithAnInvalidStatusLineChangesNothing(t *testing.T) {
	g := NewWithT(t)
	s := truncate.NewServer(t)
	for _, line := range append(truncate.InvalidStatusLines(), truncate.MalformedStatusLines()...) {
		s.Set(truncate.Sized(line, "", `{"Revision":71,"Hosts":[{"Name":"a","State":"Live"}]}`), truncate.Close)
		list := hosts.New(hosts.Config{Address: s.Address})
		g.Expect(list.Fetch(context.Background(), time.Millisecond)).NotTo(Succeed(), line)
		g.Expect(list.All()).To(BeEmpty())
	}
}
