package directory_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/directory"
	"wisteriafield/internal/router/members"
)

const maxRecords = 200_000

// Updates of records that were never registered once grew the directory without bound.
func TestUpdatesKeepTheBoundOfTheDirectory(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	m := members.New(hosts.Host{Name: "one", Kind: hosts.Router, State: hosts.Live}, hosts.New(hosts.Config{}))
	d := directory.New(m, nil, control.NewServer())
	d.FindOrRegister(ctx, "first", directory.Record{Generation: "g"})
	for i := range maxRecords + 10 {
		d.Update(ctx, fmt.Sprint(i), directory.Record{Generation: "g"})
	}
	g.Expect(d.Len()).To(Equal(maxRecords))
	d.Update(ctx, "first", directory.Record{Generation: "g", Keeper: "k"})
	g.Expect(d.FindOrRegister(ctx, "first", directory.Record{}).Keeper).To(Equal("k"))
}
