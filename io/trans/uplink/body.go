package uplink

import (
	"context"
	"errors"
	"io"

	"camphorridge/core/state/clock"
)

// body passes the response on and settles the connection at its end. It is
// used by one goroutine.
type body struct {
	inner io.ReadCloser
	conn  *conn
	link  *Client
	ctx   context.Context
	begun clock.Millis
	// ended says that the connection was settled or closed.
	ended bool
}

// Read implements io.Reader. A response that ends early is an *Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil || b.ended:
		return n, err
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.ended = true
		b.conn.finished()
		return n, io.EOF
	}
	b.ended = true
	b.conn.seal()
	_ = b.conn.Close()
	kind := b.link.failure(b.ctx, b.conn.pool, b.begun, true)
	if kind == KindClosed {
		kind = KindTruncated
	}
	return n, fail("response body", kind, "%w", err)
}

// Close implements io.Closer. A body that was not read to its end costs the
// connection.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.conn.seal()
		_ = b.conn.Close()
	}
	return b.inner.Close()
}
