package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// raw is an upstream that answers byte by byte and counts how often each
// request arrived.
type raw struct {
	address string
	mu      sync.Mutex
	seen    map[string]int
}

// newRaw answers each request with what write sends; the connection is closed
// when write returns false.
func newRaw(t testing.TB, write func(c net.Conn, r *http.Request) bool) *raw {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &raw{address: l.Addr().String(), seen: map[string]int{}}
	var wg sync.WaitGroup
	var conns []net.Conn
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			conns = append(conns, c)
			u.mu.Unlock()
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					u.mu.Lock()
					u.seen[r.Header.Get("X-Mark")]++
					u.mu.Unlock()
					if _, err = io.Copy(io.Discard, r.Body); err != nil || !write(c, r) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		u.mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		u.mu.Unlock()
		wg.Wait()
	})
	return u
}

func (u *raw) count(mark string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen[mark]
}

func send(c io.Writer, s string) bool {
	_, err := io.Copy(c, strings.NewReader(s))
	return err == nil
}
