package tests

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// TestSilentConnections guards against a kept-alive connection to an upstream that
// has stopped delivering data, but is used for one request after the other, while new
// connections work.
func TestSilentConnections(t *testing.T) {
	s := startSystem(t, layout{controls: []string{"za"}, entries: []string{"za"}})
	address := s.newIP() + ":9000"
	r := newRelay(t, s.newIP()+":9000", address)
	u, err := stand.Start(stand.Options{
		Instance: "za-i00", Zone: "za", Rack: "za-r0", Pool: "merge", Slots: 8, Connections: 64,
		AnnounceTo: []string{s.find("e1").upstreamAddr}, Address: address, Advertise: r.Addr(),
	})
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	s.wait("the instance", func() bool { return len(s.instances()) == 1 })
	s.retryCLI("contract", "apply", s.writeFile("acme.ini", `[contract]
customer = acme
covers = instance
[pool merge]
instances = 1
[disruption]
max-unavailable = 0
budget-ms = 0
window-ms = 3600000
`), "--author", "test")
	send := func(id string) int {
		status, _, _, err := call(t, s.find("e1").callerAddr, "merge", http.Header{
			stand.IDHeader: {id}, "Camphorridge-Timeout-Ms": {"1000"},
		})
		assert.NilError(t, err)
		return status
	}
	s.wait("a served request", func() bool { return send("warm") == http.StatusOK })
	for round := range 3 {
		r.SilenceConnections()
		failed := 0
		for n := range 6 {
			if send(fmt.Sprintf("round-%d-%d", round, n)) != http.StatusOK {
				failed++
			}
		}
		// One request may time out on the silent connection. The entry process must then
		// close all idle connections to the upstream that have received no response since
		// that request was sent, so that the next request uses a new one.
		assert.Assert(t, failed <= 1, "%d of 6 requests failed in round %d, which is more than one", failed, round)
	}
}
