package stand

import (
	"io"
	"net"
	"sync"
)

// RelayMode says what a relay does with its connections.
type RelayMode int

// The modes of a relay.
const (
	// RelayForward forwards data in both directions.
	RelayForward RelayMode = iota
	// RelaySilent keeps connections open but forwards nothing, like a network
	// that drops packets.
	RelaySilent
	// RelayReset closes open connections, and new ones as soon as they are
	// accepted.
	RelayReset
)

// Relay forwards TCP connections to a process, for example one in another
// availability zone, and injects network faults.
type Relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	mode     RelayMode
	conns    map[net.Conn]bool
	// generation is the number of calls of SilenceConnections. Connections of an
	// earlier generation are silent.
	generation int
}

// NewRelay returns a relay that listens at an address and forwards to target, in the
// mode RelayForward. It returns an error if it can't listen.
func NewRelay(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetMode(RelayReset)
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetMode changes the mode. Connections stay open in the mode RelaySilent and
// continue when the relay forwards again.
func (r *Relay) SetMode(m RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	r.changed.Broadcast()
	if m != RelayReset {
		return
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

// SilenceConnections makes the open connections silent until they are reset, while
// new ones work, as when a middlebox has lost its connection state.
func (r *Relay) SilenceConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
}

// waitForward waits while the relay, or a connection of the given generation, is
// silent. It then reports whether the connection may forward data.
func (r *Relay) waitForward(generation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.mode == RelaySilent || (generation < r.generation && r.mode != RelayReset) {
		r.changed.Wait()
	}
	return r.mode == RelayForward
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve forwards one connection until either side closes it.
func (r *Relay) serve(c net.Conn) {
	defer r.closeConn(c)
	r.track(c)
	r.mu.Lock()
	generation := r.generation
	r.mu.Unlock()
	if !r.waitForward(generation) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.closeConn(out)
	r.track(out)
	done := make(chan struct{}, 2)
	go r.copy(out, c, generation, done)
	go r.copy(c, out, generation, done)
	<-done
}

// copy forwards data in one direction, and sends on done when it ends. While the
// connection is silent, the end of the stream is not passed on either.
func (r *Relay) copy(to, from net.Conn, generation int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.waitForward(generation) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF && r.waitForward(generation) {
			return
		}
		if err != nil {
			return
		}
	}
}

// track adds a connection to those that RelayReset closes.
func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

// closeConn closes a connection and stops tracking it.
func (r *Relay) closeConn(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
