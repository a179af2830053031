package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// maxNameBytes bounds the name of a host, which messages repeat.
const maxNameBytes = 200

// DecodeHost decodes a router's entry in the store, which may hold anything.
func DecodeHost(value []byte) (Host, error) {
	var h Host
	if err := json.Unmarshal(value, &h); err != nil {
		return Host{}, fmt.Errorf("decode host: %w", err)
	}
	if h.Name == "" || len(h.Name) > maxNameBytes || len(h.Domain) > maxNameBytes || h.LinkMbps < 0 {
		return Host{}, errors.New("host has no valid name, domain or link rate")
	}
	for _, address := range []string{h.Address, h.DatagramAddress} {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return Host{}, fmt.Errorf("address of host %s: %w", h.Name, err)
		}
		if ip := a.Addr().Unmap(); a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
			return Host{}, errors.Errorf("host %s has no address of a host: %s", h.Name, address)
		}
	}
	return h, nil
}
