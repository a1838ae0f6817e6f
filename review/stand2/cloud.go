package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cloud stands in for the platform's interface to machines and its advice service.
type cloud struct {
	sys     *system
	address string
	server  *http.Server
	mu      sync.Mutex
	// foreign holds entries of another writer, which the list of machines has too.
	foreign []string
	// waves holds the waves that the operator has declared, by number.
	waves map[int]*wave
	// orders holds the latest order for each machine.
	orders map[string]order
}

// wave is a set of machines that are due for upkeep.
type wave struct {
	machines []string
	limit    int
	// begun holds the machines whose upkeep has begun, and down those that are not back.
	begun, down map[string]bool
}

// order is an order for a machine.
type order struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
	holder  string
	token   int64
}

// take reads an order and checks its holder and token. It answers an order that cannot be
// carried out, and then returns no minion.
func (c *cloud) take(w http.ResponseWriter, r *http.Request) (order, *minion) {
	var o order
	if b, err := io.ReadAll(r.Body); err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, nil
	}
	o.holder = r.Header.Get("Lease-Holder")
	o.token, _ = strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	c.mu.Lock()
	last := c.orders[o.Machine]
	c.orders[o.Machine] = o
	c.mu.Unlock()
	switch {
	case o.token < last.token:
		c.sys.rec.broken("ONE", "%s orders %s with token %d after %s with token %d", o.holder, o.Machine, o.token, last.holder, last.token)
	case o.token == last.token && last.holder != "" && o.holder != last.holder:
		c.sys.rec.broken("ONE", "%s and %s order %s with token %d", o.holder, last.holder, o.Machine, o.token)
	}
	for _, m := range c.sys.fleet.all() {
		if m.machine == o.Machine {
			return o, m
		}
	}
	w.WriteHeader(http.StatusBadRequest)
	return o, nil
}

// refuse answers 409 with a reason.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_, _ = fmt.Fprintf(w, `{"reason":%q}`, reason)
}

func newCloud(s *system) (*cloud, error) {
	c := &cloud{sys: s, waves: map[int]*wave{}, orders: map[string]order{}}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(3, 1), cloudPort))
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /camphorridge/machines", c.machines)
	mux.HandleFunc("POST /camphorridge/machine-upkeep", c.upkeep)
	mux.HandleFunc("POST /camphorridge/machine-move", c.move)
	mux.HandleFunc("POST /camphorridge/advise", c.advise)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

func (c *cloud) stop() { _ = c.server.Close() }

// machines answers with the list of all machines.
func (c *cloud) machines(w http.ResponseWriter, _ *http.Request) {
	var all []string
	for _, m := range c.sys.fleet.all() {
		all = append(all, m.entry())
	}
	c.mu.Lock()
	all = append(all, c.foreign...)
	c.mu.Unlock()
	c.sys.rec.note("platform: the list of machines is read")
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"machines":[%s],"nextToken":null}`, strings.Join(all, ","))
}

// addForeign adds an entry of another writer for each of the machines. The entries lack
// the fields zone, labels, freeResources and id.
func (c *cloud) addForeign(machines []string, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range machines {
		c.foreign = append(c.foreign, fmt.Sprintf(`{"machine":%q,"pool":%q,"state":"up"}`, m, pool))
	}
	c.sys.rec.note("another writer adds to the list of machines: %s", strings.Join(c.foreign, ","))
}

// move ends the minion of a machine at once; a new one joins the pool after moveTime.
func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	o, m := c.take(w, r)
	if m == nil || m.service() == o.Pool {
		return
	}
	if !c.sys.fleet.isMovable(m) {
		refuse(w, "busy")
		return
	}
	c.sys.rec.note("platform: %s moves to %s by %s, token %d", o.Machine, o.Pool, o.holder, o.token)
	c.sys.fleet.checkOrder(m, "the move of "+m.machine)
	m.crash("move")
	m.joins(o.Pool)
	if o.Pool != standbyPool {
		time.AfterFunc(moveTime, m.start)
	}
}

// upkeep ends the minion of a machine at once; a new one joins after upkeepTime.
func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	o, m := c.take(w, r)
	if m == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.waves[o.Wave]
	if v == nil || !slices.Contains(v.machines, o.Machine) {
		refuse(w, "wave")
		return
	}
	if v.begun[o.Machine] {
		return
	}
	if !c.sys.fleet.isMovable(m) {
		refuse(w, "busy")
		return
	}
	if len(v.down) >= v.limit {
		c.sys.rec.broken("LIMIT", "the upkeep of %s begins while %d machines of wave %d are down, and %d may be", o.Machine, len(v.down), o.Wave, v.limit)
	}
	c.sys.rec.note("platform: upkeep of %s for wave %d by %s, token %d", o.Machine, o.Wave, o.holder, o.token)
	c.sys.fleet.checkOrder(m, "the upkeep of "+m.machine)
	v.begun[o.Machine], v.down[o.Machine] = true, true
	m.crash("upkeep")
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		delete(v.down, o.Machine)
		c.mu.Unlock()
		if m.service() != standbyPool {
			m.renew()
			m.start()
		}
	})
}

// declare declares a wave to the system.
func (c *cloud) declare(number int, machines []string, limit, seconds int) error {
	c.mu.Lock()
	c.waves[number] = &wave{machines: machines, limit: limit, begun: map[string]bool{}, down: map[string]bool{}}
	c.mu.Unlock()
	list, _ := json.Marshal(machines)
	return c.sys.operate(http.MethodPost, "/camphorridge/wave-start", fmt.Sprintf(`{"wave":%d,"machines":%s,"deadlineS":%d,"cap":%d}`, number, list, seconds, limit))
}

// checkWave checks that a wave that is said to be completed has begun on all machines.
func (c *cloud) checkWave(number int) {
	_, answer := send(http.MethodGet, fmt.Sprintf("http://%s/camphorridge/wave-get/%d", c.sys.controlAddresses()[number%3], number), "", "", time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.waves[number]; strings.Contains(answer, "completed") && len(v.begun) < len(v.machines) {
		c.sys.rec.broken("MIXED", "wave %d is said to be completed after %d of %d upkeeps", number, len(v.begun), len(v.machines))
	}
}

// advise lets every worker run every step.
func (c *cloud) advise(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if b, err := io.ReadAll(r.Body); err != nil || json.Unmarshal(b, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20 * time.Millisecond)
	good := [][]string{}
	for _, id := range call.Workers {
		good = append(good, []string{id, "ticket-" + id})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good})
}
