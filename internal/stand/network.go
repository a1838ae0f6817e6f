package stand

import (
	"fmt"
	"net"
	"os"
)

// ClaimNetwork claims a loopback network 127.octet.x.y that no other test run on
// this machine uses, so that the addresses of concurrent runs don't collide. The
// claim is a listener on the given port of one address of the network. Until it is
// closed, no other run that claims with the same port gets the network. ClaimNetwork
// returns an error if all networks are claimed.
func ClaimNetwork(port int) (octet int, claim net.Listener, err error) {
	// The second byte of the networks is from 10 to 209.
	const networkCount = 200
	for i := range networkCount {
		octet = 10 + (os.Getpid()+i)%networkCount
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, port))
		if err == nil {
			return octet, claim, nil
		}
	}
	return 0, nil, fmt.Errorf("every loopback network is in use: %w", err)
}
