package demo

import (
	"context"
	"fmt"

	"wisteriafield/internal/trial/fleet"
)

// runUp configures the fleet and lets it run until the program is interrupted.
func runUp(ctx context.Context, f *fleet.Fleet) error {
	if err := f.Configure(ctx, printLine); err != nil {
		return err
	}
	printLine("")
	for _, r := range f.Routers {
		fmt.Printf("router %-18s callers %s  admin %s\n", r.Host.Name, r.Host.CallerAddress, r.Host.AdminAddress)
	}
	for _, e := range f.Engines {
		fmt.Printf("engine %-18s faults  %s\n", e.Name, e.Address)
	}
	fmt.Printf("platform %-16s faults  %s\n", "", f.PlatformAddress)
	fmt.Printf("\nkeys: %s, %s; admin credential: admin-loopback\ninterrupt to stop\n", fleet.KeyScordia, fleet.KeyQalamdaan)
	<-ctx.Done()
	return nil
}
