package peers

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAbandonedCallIsReset guards against a call that is executed seconds after its caller
// gave up on it: after an ordinary close, the kernel still delivers what a network
// partition has held up.
func TestAbandonedCallIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, err = io.Copy(io.Discard, conn)
		_ = conn.Close()
		ended <- err
	}()
	_, err = callWorker(l.Addr().String())
	assert.Assert(t, err != nil && MayHaveRun(err), "%v", err)
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
