package tests

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// newRelay starts a relay from the address listen to the address target. The relay is
// closed at the end of the test.
func newRelay(t testing.TB, listen, target string) *stand.Relay {
	t.Helper()
	r, err := stand.NewRelay(listen, target)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}
