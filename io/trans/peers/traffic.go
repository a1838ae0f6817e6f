package peers

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a process exchanges with the system's other
// processes, with operators' commands, and with upstreams that announce themselves.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written since the process started.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes read since the process started.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Listener returns a listener that counts the bytes of the connections that l
// accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countingListener{Listener: l, t: t} }

// dial returns a dial function that counts the bytes of its connections.
func (t *Traffic) dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, t: t}, nil
	}
}

type countingListener struct {
	net.Listener
	t *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, t: l.t}, nil
}

type countingConn struct {
	net.Conn
	t *Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(int64(n))
	return n, err
}

// CloseWrite closes the sending side of the connection.
func (c *countingConn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.sent.Add(int64(n))
	return n, err
}
