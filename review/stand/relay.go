package main

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
)

// relay is the network between one entry process and one control process. While it is
// cut, bytes that arrive are held up, as a network partition does. They are delivered
// when the cut ends unless their sender has reset the connection. A connection that is
// opened during the cut never comes about.
type relay struct {
	target string
	mu     sync.Mutex
	cond   *sync.Cond
	cut    bool
	conns  map[*link]bool
	// silenceAfter is the text after whose first appearance in a request all open
	// connections are silent for good towards the entry process; nil for none.
	silenceAfter []byte
	silenced     chan struct{}
}

// link is one connection through a relay.
type link struct {
	silent bool
}

func newRelay(listen, target string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, conns: map[*link]bool{}, silenced: make(chan struct{})}
	r.cond = sync.NewCond(&r.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// setCut begins or ends the cut.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.cond.Broadcast()
}

// silence makes all open connections silent towards the entry process once the text
// has passed.
func (r *relay) silence(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceAfter = []byte(text)
}

func (r *relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r.mu.Lock()
	opened := !r.cut
	x := &link{}
	r.conns[x] = true
	r.mu.Unlock()
	if !opened {
		r.waitUncut()
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.backward(x, c, out)
		_ = c.Close()
	}()
	r.forward(c, out)
	<-done
	_ = out.Close()
}

// forward copies requests. A close of the sender is passed on after the bytes before it;
// after a reset, held-up bytes are dropped.
func (r *relay) forward(from, to net.Conn) {
	type chunk struct {
		data []byte
		err  error
	}
	chunks := make(chan chunk, 1024)
	var reset bool
	var resetMu sync.Mutex
	go func() {
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if errors.Is(err, syscall.ECONNRESET) {
				resetMu.Lock()
				reset = true
				resetMu.Unlock()
			}
			chunks <- chunk{buf[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for x := range chunks {
		r.waitUncut()
		resetMu.Lock()
		dropped := reset
		resetMu.Unlock()
		if dropped {
			break
		}
		if len(x.data) > 0 {
			r.watch(x.data)
			if _, err := to.Write(x.data); err != nil {
				break
			}
		}
		if x.err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
	_ = to.Close()
}

// watch makes the open connections silent if the request contains the text.
func (r *relay) watch(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silenceAfter == nil || !bytes.Contains(data, r.silenceAfter) {
		return
	}
	r.silenceAfter = nil
	for x := range r.conns {
		x.silent = true
	}
	close(r.silenced)
}

// backward copies responses unless the connection is silent.
func (r *relay) backward(x *link, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.waitUncut()
		r.mu.Lock()
		silent := x.silent
		r.mu.Unlock()
		if silent {
			// Neither data nor the end of the stream arrives.
			if err == nil {
				continue
			}
			select {}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) waitUncut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut {
		r.cond.Wait()
	}
}

// startRelays starts a relay in front of each control process and returns the relays and
// their addresses as seeds. The relay of the given leader has the first address.
func (s *system) startRelays(leader int) ([]*relay, []string, error) {
	order := []int{leader}
	for n := 1; n <= 3; n++ {
		if n != leader {
			order = append(order, n)
		}
	}
	var all []*relay
	var seeds []string
	for i, n := range order {
		r, err := newRelay(s.addr(kindRelay, i+1, peerPort), s.addr(kindControl, n, peerPort))
		if err != nil {
			return nil, nil, err
		}
		all = append(all, r)
		seeds = append(seeds, s.addr(kindRelay, i+1, controlPort))
	}
	return all, seeds, nil
}
