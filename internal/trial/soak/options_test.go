package soak_test

import (
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/soak"
)

func TestOptionsAreReadFromTheirFlags(t *testing.T) {
	g := NewWithT(t)
	var opts soak.Options
	_, err := flags.NewParser(&opts, flags.None).ParseArgs([]string{"--seed", "7", "--last", "5s", "--faults"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(opts).To(Equal(soak.Options{Seed: 7, Duration: 5 * time.Second, Verbose: true}))
}
