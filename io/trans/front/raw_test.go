package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// raw is an upstream that answers byte by byte and counts how often each
// request arrived. It closes the connection after each answer.
type scriptedUpstream struct {
	address  string
	mu       sync.Mutex
	arrivals map[string]int
}

func newScriptedUpstream(t testing.TB, write func(c net.Conn, r *http.Request)) *scriptedUpstream {
	t.Helper()
	u := &scriptedUpstream{arrivals: map[string]int{}}
	u.address = upstream(t, func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.arrivals[r.Header.Get("X-Mark")]++
		u.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		write(c, r)
		_ = c.Close()
	})
	return u
}

func (u *scriptedUpstream) count(mark string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivals[mark]
}

// send writes s; a test that needs the bytes to arrive sees it by the answer.
func writeRaw(c io.Writer, s string) { _, _ = io.WriteString(c, s) }

// answer writes a response and says that the connection is closed after it.
// Without that, a request that is written while the connection is being closed
// is rightly an unknown, and the tests would depend on which comes first.
func writeResponse(c io.Writer, s string) {
	writeRaw(c, strings.Replace(s, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
}
