package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// scriptedUpstream is an upstream whose responses a test writes as raw bytes. It
// counts how often each request arrived, by the header X-Mark, and closes the
// connection after each response.
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

// writeRaw writes s and ignores errors: a test that needs the bytes to arrive
// checks the response instead.
func writeRaw(c io.Writer, s string) { _, _ = io.WriteString(c, s) }

// writeResponse writes a response with the header Connection: close. Without it,
// a request written while the connection is being closed would correctly have an
// unknown outcome, and the tests would depend on the timing.
func writeResponse(c io.Writer, s string) {
	writeRaw(c, strings.Replace(s, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
}
