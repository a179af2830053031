package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/standin/link"
)

// newRouter writes the settings of a router. Other routers reach it, and it reaches the
// platform, through links that can inject network faults.
func (f *Fleet) newRouter(name, domain, environment string) (*Router, error) {
	peerAddress := FreeAddress()
	peerLink, err := link.New(peerAddress)
	if err != nil {
		return nil, fmt.Errorf("peer link: %w", err)
	}
	storeLink, err := link.New(f.PlatformAddress)
	if err != nil {
		return nil, fmt.Errorf("store link: %w", err)
	}
	f.links = append(f.links, peerLink, storeLink)
	host := hosts.Host{
		Name: name, Kind: hosts.Router, State: hosts.Live, Environment: environment, Domain: domain, Region: "sicilia",
		CallerAddress: FreeAddress(), PeerAddress: peerLink.Address, AdminAddress: FreeAddress(),
	}
	r := &Router{Host: host, PeerLink: peerLink, StoreLink: storeLink, settingsPath: filepath.Join(f.Dir, name+".ini"), LogPath: filepath.Join(f.Dir, name+".log")}
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
%s`, host.Name, host.Environment, host.Domain, host.Region, host.CallerAddress, peerAddress, host.AdminAddress,
		storeLink.Address, platformCredential, peerCredential, adminCredential, ordersCredential, f.ExtraBounds)
	return r, os.WriteFile(r.settingsPath, []byte(text), 0o600)
}

// StartRouter starts or restarts a router and registers its host with the platform.
func (f *Fleet) StartRouter(r *Router) error {
	p, err := StartProcess(r.Host.Name, filepath.Join(f.Dir, r.Host.Name+".log"), filepath.Join(f.Bin, "wisteriafield"), "router", "--settings", r.settingsPath)
	if err != nil {
		return err
	}
	r.Process = p
	f.processes[r.Host.Name] = p
	if err := waitFor(5*time.Second, func() bool { return acceptsConnections(r.Host.AdminAddress) }); err != nil {
		return fmt.Errorf("router %s: %w; log ends with %q", r.Host.Name, err, f.logTail(r.Host.Name))
	}
	return f.RegisterHost(r.Host)
}
