package stand

import (
	"io"
	"net"
	"sync"
)

// RelayMode is what a relay does with its connections.
type RelayMode int

// The modes of a relay.
const (
	RelayForward RelayMode = iota
	// RelaySilent keeps connections open and passes nothing on, as a network
	// that drops packets does.
	RelaySilent
	// RelayReset closes connections and refuses new ones at once.
	RelayReset
)

// Relay forwards TCP connections from one availability zone to a process of
// another one.
type Relay struct {
	target  string
	l       net.Listener
	mu      sync.Mutex
	changed *sync.Cond
	mode    RelayMode
	conns   map[net.Conn]bool
	// era counts the calls of Forget; connections of earlier eras are silent.
	era int
}

// NewRelay returns a relay that listens at an address and forwards to target.
func NewRelay(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, l: l, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.l.Close()
	r.Set(RelayReset)
}

// Addr is the address that the relay listens at.
func (r *Relay) Addr() string { return r.l.Addr().String() }

// Set changes the mode. Connections that were silent stay open and go on when
// the relay forwards again.
func (r *Relay) Set(m RelayMode) {
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

// Forget makes the open connections silent for good, while new ones work, as a
// middlebox does that lost its state.
func (r *Relay) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era++
}

// pass waits while the relay, or a connection of the given era, is silent and
// reports whether to go on.
func (r *Relay) pass(era int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.mode == RelaySilent || (era < r.era && r.mode != RelayReset) {
		r.changed.Wait()
	}
	return r.mode == RelayForward
}

func (r *Relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(c net.Conn) {
	defer r.drop(c)
	r.keep(c)
	r.mu.Lock()
	era := r.era
	r.mu.Unlock()
	if !r.pass(era) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(out)
	r.keep(out)
	done := make(chan struct{}, 2)
	go r.copy(out, c, era, done)
	go r.copy(c, out, era, done)
	<-done
}

func (r *Relay) copy(to, from net.Conn, era int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.pass(era) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF && r.pass(era) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *Relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
