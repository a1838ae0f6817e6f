package peers

import "net/netip"

// ipPort reports whether the address is an IP number with a port above 0.
// Names are not allowed: there is no name service to rely on.
func ipPort(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0
}
