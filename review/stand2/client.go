package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// clientDeadline is how long clients wait for a response.
const clientDeadline = 3 * time.Second

// caller follows redirects, as callers of control do.
var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// send sends a request and returns the status and the body, or status 0 if there was no
// complete answer.
func send(method, url, host, body string, limit time.Duration) (int, string) {
	status, answer, _ := sendOnce(method, url, host, body, limit)
	return status, answer
}

// sendOnce is send. It returns also when the caller is told to come back, 100 ms if it
// is not told.
func sendOnce(method, url, host, body string, limit time.Duration) (status int, answer string, retry time.Duration) {
	retry = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), retry
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := caller.Do(q)
	if err != nil {
		return 0, err.Error(), retry
	}
	defer resp.Body.Close()
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && os.Getenv("HASTY") != "1" {
		retry = time.Duration(seconds) * time.Second
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), retry
	}
	return resp.StatusCode, string(b), retry
}

// operate sends an order of the operator to the control processes in turn until one gives
// a clear response.
func (s *system) operate(method, path, body string) error {
	status, answer := 0, ""
	err := wait(method+" "+path, 20*time.Second, func() bool {
		for _, a := range s.controlAddresses() {
			status, answer = send(method, "http://"+a+path, "", body, time.Second)
			if status != 0 && status < 500 {
				return true
			}
		}
		return false
	})
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", method, path, status, answer)
	}
	s.rec.note("operator: %s %s: %d", method, path, status)
	return err
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	priority, attempts    int
	stretch               float64
	advice                string
}

// service is a service of the configuration. Its minions guard their room if guards is set.
type service struct {
	name            string
	guards, standby bool
}

// configure sends a configuration with the next version.
func (s *system) configure(routes []route, services []service) error {
	s.version++
	var rs, ss []string
	for _, r := range routes {
		line := fmt.Sprintf(`{"name":%q,"host":"pule25.example","pathPrefix":%q,"type":"unsafe","timeoutMs":3000,"targetLatencyMs":3600,"priority":%d,"backend":%q,"attempts":%d,"stretch":%v`,
			r.name, r.prefix, r.priority, r.service, r.attempts, r.stretch)
		if r.advice != "" {
			line += `,"advice":` + r.advice
		}
		rs = append(rs, line+"}")
	}
	for _, x := range services {
		ss = append(ss, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionControl":%v,"standby":%v}`, x.name, x.guards, x.standby))
	}
	return s.operate(http.MethodPut, "/camphorridge/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		s.version, strings.Join(rs, ","), strings.Join(ss, ",")))
}

// clientCount spreads the clients over the entry processes.
var clientCount atomic.Int64

// client sends a client's call to the entry processes in turn until one gives a clear
// response, at most four times more.
func (s *system) client(method, path, body string) (int, string) {
	status, answer := 0, ""
	first := clientCount.Add(1)
	for n := range int64(5) {
		e := s.entries[(first+n)%int64(len(s.entries))]
		retry := time.Duration(0)
		status, answer, retry = sendOnce(method, fmt.Sprintf("http://%s:%d%s", e.ip, frontPort, path), "pule25.example", body, clientDeadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(retry)
	}
	return status, answer
}

// submit hands in a job.
func (s *system) submit(path, body string) error {
	status, answer := s.client(http.MethodPost, path, body)
	s.rec.note("client: POST %s %s: %d", path, body, status)
	if status != http.StatusOK {
		return fmt.Errorf("job %s was not accepted: status %d: %s", path, status, answer)
	}
	return nil
}

// state returns the state of a job, or the status of the response if it is not 200.
func (s *system) state(path string) string {
	status, answer := s.client(http.MethodGet, path, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var v struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(answer), &v) != nil {
		return "unreadable"
	}
	return v.State
}
