package uplink

import (
	"context"
	"errors"
	"io"

	"camphorridge/core/state/clock"
)

// responseBody is the body of a response. At the end of the body it returns the
// connection to the pool. It must be used by only one goroutine at a time.
type responseBody struct {
	inner   io.ReadCloser
	conn    *conn
	client  *Client
	ctx     context.Context
	started clock.Millis
	// released is true once the connection was returned to the pool or closed.
	released bool
}

// Read implements io.Reader. The first failure before the end of the body closes
// the connection and is returned as an *Error.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil || b.released:
		return n, err
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.released = true
		b.conn.finishResponse()
		return n, io.EOF
	}
	b.released = true
	b.conn.blockWrites()
	_ = b.conn.Close()
	kind := b.client.handleFailure(b.ctx, b.conn.pool, b.started, true)
	if kind == KindClosed {
		kind = KindTruncated
	}
	return n, newError("response body", kind, "%w", err)
}

// Close implements io.Closer. It closes the connection if the body was not
// read to its end.
func (b *responseBody) Close() error {
	if !b.released {
		b.released = true
		b.conn.blockWrites()
		_ = b.conn.Close()
	}
	return b.inner.Close()
}
