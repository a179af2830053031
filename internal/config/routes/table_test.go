package routes_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/routes"
)

func newTable() *routes.Table {
	return routes.NewTable(routes.Config{
		Version: 7,
		Routes: []routes.Route{
			{Name: "all", Host: "desk.example", Prefix: "/", Split: []routes.Share{{Service: "desk", Weight: 1}}},
			{Name: "drafts", Host: "desk.example", Prefix: "/drafts/", Split: []routes.Share{{Service: "engines", Weight: 1}}},
			{Name: "split", Host: "other.example", Prefix: "/a/", Split: []routes.Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}},
		},
		Organisations: []routes.Organisation{{Name: "florist", Keys: []string{"k1", "k2"}}},
	})
}

func ExampleTable_Match() {
	t := newTable()
	fmt.Println(t.Match("desk.example", "/drafts/9").Name)
	fmt.Println(t.Match("Desk.Example:8740", "/drafts").Name)
	fmt.Println(t.Match("desk.example.org", "/drafts/9") == nil)
	// Output:
	// drafts
	// all
	// true
}

func TestOrganisationIsFoundByKey(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newTable().Organisation("k2").Name).To(Equal("florist"))
	g.Expect(newTable().Organisation("k3")).To(BeNil())
	g.Expect(newTable().Organisation("")).To(BeNil())
}

func TestPickServiceFollowsWeightsAndIsStable(t *testing.T) {
	g := NewWithT(t)
	r := newTable().Match("other.example", "/a/b")
	counts := map[string]int{}
	for i := range 2000 {
		id := fmt.Sprint(i)
		g.Expect(r.PickService(id)).To(Equal(r.PickService(id)))
		counts[r.PickService(id)]++
	}
	g.Expect(counts["x"]).To(BeNumerically("~", 1800, 60))
	g.Expect(counts["x"] + counts["y"]).To(Equal(2000))
}

func TestStreamIsRetryableOnlyIfResumable(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		route routes.Route
		want  bool
	}{
		{routes.Route{Kind: routes.Idempotent}, true},
		{routes.Route{Kind: routes.NonIdempotent}, false},
		{routes.Route{Kind: routes.NonIdempotent, Resumable: true}, false},
		{routes.Route{Kind: routes.Streaming}, false},
		{routes.Route{Kind: routes.Streaming, Resumable: true}, true},
	} {
		g.Expect(c.route.Retryable()).To(Equal(c.want))
	}
}
