package edgesoak_test

import (
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/edgesoak"
)

func TestOptionsAreReadFromTheirFlags(t *testing.T) {
	g := NewWithT(t)
	var opts edgesoak.Options
	args := []string{"--seed", "7", "--last", "5s", "--routers", "3", "--engines", "5", "--desks", "4", "--others", "1", "--deadly", "2", "--planned", "--storms", "--leaving", "--faults"}
	_, err := flags.NewParser(&opts, flags.None).ParseArgs(args)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(opts).To(Equal(edgesoak.Options{Seed: 7, Duration: 5 * time.Second, Routers: 3, Engines: 5, Services: 4, Others: 1, Deadly: 2, Planned: true, Storms: true, Leaving: true, Verbose: true}))
}
