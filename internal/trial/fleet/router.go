package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/standin/link"
)

func (f *Fleet) newRouter(name, domain, environment string) (*Router, error) {
	peer := FreeAddress()
	peerLink, err := link.New(peer)
	if err != nil {
		return nil, fmt.Errorf("peer link: %w", err)
	}
	storeLink, err := link.New(f.PlatformAddress)
	if err != nil {
		return nil, fmt.Errorf("store link: %w", err)
	}
	f.links = append(f.links, peerLink, storeLink)
	h := hosts.Host{
		Name: name, Kind: hosts.Router, State: hosts.Live, Environment: environment, Domain: domain, Region: "sicilia",
		CallerAddress: FreeAddress(), PeerAddress: peerLink.Address, AdminAddress: FreeAddress(),
	}
	r := &Router{Host: h, PeerLink: peerLink, StoreLink: storeLink, settings: filepath.Join(f.Dir, name+".ini"), LogPath: filepath.Join(f.Dir, name+".log")}
	text := fmt.Sprintf(`[Host]
Name = %s
Environment = %s
Domain = %s
Region = %s
CallerAddress = %s
PeerAddress = %s
AdminAddress = %s

[Platform]
Address = %s
Credential = %s

[Credentials]
Peer = %s
Admin = %s
Orders = %s

[Log]
Level = info

[Bounds]
LameDuck = 200ms
`, h.Name, h.Environment, h.Domain, h.Region, h.CallerAddress, peer, h.AdminAddress,
		storeLink.Address, platformCredential, peerCredential, adminCredential, ordersCredential)
	return r, os.WriteFile(r.settings, []byte(text), 0o600)
}

// StartRouter starts a router, also again after it died, and lists it.
func (f *Fleet) StartRouter(r *Router) error {
	p, err := StartProcess(r.Host.Name, filepath.Join(f.Dir, r.Host.Name+".log"), filepath.Join(f.Bin, "wisteriafield"), "router", "--settings", r.settings)
	if err != nil {
		return err
	}
	r.Process = p
	f.processes[r.Host.Name] = p
	if err := waitFor(5*time.Second, func() bool { return dials(r.Host.AdminAddress) }); err != nil {
		return fmt.Errorf("router %s: %w; its log ends with %q", r.Host.Name, err, f.logEnd(r.Host.Name))
	}
	return f.RegisterHost(r.Host)
}
