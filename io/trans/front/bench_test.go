package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"

	"gotest.tools/v3/assert"
)

// callers is the number of connections of the throughput benchmarks.
const callers = 64

// caller is one connection that sends the same request again and again.
type caller struct {
	conn      net.Conn
	responses *bufio.Reader
	request   []byte
}

func dialCaller(b testing.TB, address, header string) *caller {
	c, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = c.Close() })
	return &caller{conn: c, responses: bufio.NewReader(c), request: []byte("POST /svc/x HTTP/1.1\r\nHost: svc\r\n" + header + "Content-Length: 5\r\n\r\nhello")}
}

// call sends one request and returns the outcome header of its response.
func (c *caller) call() (outcome string, err error) {
	if _, err = c.conn.Write(c.request); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(HeaderOutcome), err
}

// burst sends n requests in total over all callers, as fast as their responses
// arrive. It returns the rate in requests per second and the median latency in
// microseconds.
func burst(b testing.TB, cs []*caller, n int) (rate, medianMicros float64) {
	var left atomic.Int64
	left.Store(int64(n))
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	started := time.Now()
	for _, c := range cs {
		wg.Go(func() {
			var own []time.Duration
			for left.Add(-1) >= 0 {
				t := time.Now()
				if _, err := c.call(); err != nil {
					b.Error(err)
					return
				}
				own = append(own, time.Since(t))
			}
			mu.Lock()
			latencies = append(latencies, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	rate = float64(n) / time.Since(started).Seconds()
	slices.Sort(latencies)
	return rate, float64(latencies[len(latencies)/2].Microseconds())
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// BenchmarkAgainstReverseProxy compares the front end with the reverse proxy of
// the standard library and with direct calls to the upstream. The three take
// turns; in each turn, one gets 20,000 requests over 64 connections and then
// 2,000 over one connection. The medians over all turns are reported.
func BenchmarkAgainstReverseProxy(b *testing.B) {
	answer := make([]byte, 256)
	upstreamAddress := upstream(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})
	te := newTestEntry(b, 1000, []model.Contract{contract("acme", 1000, 1000, 10)}, upstreamAddress)
	target := &url.URL{Scheme: "http", Host: upstreamAddress}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
	proxyServer := httptest.NewServer(proxy)
	b.Cleanup(proxyServer.Close)
	systems := []struct {
		name, address    string
		callers          []*caller
		rates, latencies []float64
		oneConnLatencies []float64
	}{
		{name: "direct", address: upstreamAddress},
		{name: "proxy", address: proxyServer.Listener.Addr().String()},
		{name: "front", address: te.url[len("http://"):]},
	}
	for i := range systems {
		s := &systems[i]
		for range callers {
			s.callers = append(s.callers, dialCaller(b, s.address, HeaderCustomer+": acme\r\n"))
		}
		burst(b, s.callers, 5000)
	}
	b.ResetTimer()
	for range b.N {
		for i := range systems {
			s := &systems[i]
			rate, micros := burst(b, s.callers, 20_000)
			s.rates, s.latencies = append(s.rates, rate), append(s.latencies, micros)
			_, micros = burst(b, s.callers[:1], 2000)
			s.oneConnLatencies = append(s.oneConnLatencies, micros)
		}
	}
	for i := range systems {
		s := &systems[i]
		b.ReportMetric(median(s.rates), s.name+"-req/s")
		b.ReportMetric(median(s.latencies), s.name+"-us")
		b.ReportMetric(median(s.oneConnLatencies), s.name+"-1-conn-us")
	}
	b.ReportMetric(median(systems[2].rates)/median(systems[1].rates), "front/proxy")
}

// BenchmarkUnusedLending compares the throughput with lending disabled to that
// with lending enabled but no other process to borrow from. The two are measured
// in turn and medians are reported, because the speed of the machine varies.
func BenchmarkUnusedLending(b *testing.B) {
	answer := make([]byte, 256)
	up := upstream(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})
	var callersBySide [2][]*caller
	var rates [2][]float64
	for i, lease := range []clock.Millis{0, 2 * clock.Second} {
		te := newLendingTestEntry(b, lease, callers/2, []model.Contract{contract("acme", 1000, 1000, 10)}, up)
		for range callers {
			callersBySide[i] = append(callersBySide[i], dialCaller(b, te.url[len("http://"):], HeaderCustomer+": acme\r\n"))
		}
		burst(b, callersBySide[i], 5000)
	}
	b.ResetTimer()
	for range b.N {
		for i, name := range []string{"off", "on"} {
			rate, _ := burst(b, callersBySide[i], 10_000)
			rates[i] = append(rates[i], rate)
			slices.Sort(rates[i])
			b.ReportMetric(rates[i][len(rates[i])/2], name+"-requests/s")
		}
	}
}
