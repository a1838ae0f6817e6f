package peers

import "net/netip"

// ipPort reports whether address is an IP address with a port above 0. Host
// names are not allowed, because no name service can be relied on.
func ipPort(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0
}
