package hosts_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/platform/hosts"
)

// platform serves a list of hosts.
type platform struct {
	revision int64
	hosts    []hosts.Host
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	changes := hosts.Changes{Revision: p.revision}
	for _, h := range p.hosts {
		if h.Revision > after {
			changes.Hosts = append(changes.Hosts, h)
		}
	}
	_ = json.NewEncoder(w).Encode(changes)
}

func TestAListWhoseRevisionWentBackIsFetchedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	p := &platform{revision: 9, hosts: []hosts.Host{
		{Name: "kept", State: hosts.Live, Revision: 2}, {Name: "changed", State: hosts.Live, Revision: 8}, {Name: "lost", State: hosts.Live, Revision: 9},
	}}
	server := httptest.NewServer(p)
	defer server.Close()
	list := hosts.New(hosts.Config{Address: strings.TrimPrefix(server.URL, "http://")})
	g.Expect(list.Fetch(t.Context(), time.Millisecond)).To(Succeed())
	g.Expect(list.All()).To(HaveLen(3))

	p.revision, p.hosts = 4, []hosts.Host{
		{Name: "kept", State: hosts.Live, Revision: 2}, {Name: "changed", State: hosts.Leaving, Revision: 3}, {Name: "new", State: hosts.Live, Revision: 4},
	}
	g.Expect(list.Fetch(t.Context(), time.Millisecond)).To(Succeed())
	g.Expect(list.Fetch(t.Context(), time.Millisecond)).To(Succeed())
	g.Expect(list.All()).To(HaveLen(3))
	g.Expect(list.All()).To(And(HaveKey("kept"), HaveKey("new")))
	g.Expect(list.All()["changed"].State).To(Equal(hosts.Leaving))

	p.revision, p.hosts = 5, append(p.hosts, hosts.Host{Name: "later", State: hosts.Live, Revision: 5})
	g.Expect(list.Fetch(t.Context(), time.Millisecond)).To(Succeed())
	g.Expect(list.All()).To(HaveLen(4))
}
