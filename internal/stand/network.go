package stand

import (
	"fmt"
	"net"
	"os"
)

// ClaimNetwork finds a loopback network, 127.octet.x.y, that no other test run
// on the machine uses, also one beside this one, so that addresses never
// collide. Runs that claim by one port exclude each other; the listener holds
// the claim until it is closed.
func ClaimNetwork(port int) (octet int, claim net.Listener, err error) {
	const tries = 200
	for i := range tries {
		octet = 10 + (os.Getpid()+i)%tries
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, port))
		if err == nil {
			return octet, claim, nil
		}
	}
	return 0, nil, fmt.Errorf("every loopback network is in use: %w", err)
}
