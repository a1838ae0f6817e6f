package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The settings bounds.maintenanceS and bounds.moveS, and the name of the spare pool.
const (
	maintenanceTime = 2 * time.Second
	moveTime        = 1500 * time.Millisecond
	sparePool       = "pool-3"
)

// machineInterface stands in for the platform's machine interface. It lists the machines
// of the workers, maintains them and moves them to other pools.
type machineInterface struct {
	address  string
	mu       sync.Mutex
	machines []map[string]any
	// workers holds the present worker of each machine, and maintained the machines whose
	// maintenance has begun.
	workers    map[string]*worker
	maintained map[string]bool
}

func newMachineInterface(address string) (*machineInterface, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &machineInterface{address: address, workers: map[string]*worker{}, maintained: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /camphorridge/machines", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": m.machines, "nextToken": nil})
	})
	mux.HandleFunc("POST /camphorridge/machine-upkeep", m.maintain)
	mux.HandleFunc("POST /camphorridge/machine-move", m.move)
	go func() { _ = http.Serve(l, mux) }()
	return m, nil
}

// maintain begins the maintenance of a machine: its worker ends at once, and another one
// joins after maintenanceTime.
func (m *machineInterface) maintain(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.workers[order.Machine]
	switch {
	case x == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.maintained[order.Machine]:
		return
	}
	m.maintained[order.Machine] = true
	x.s.rec.note("platform: maintenance of machine %s for wave %d begins", order.Machine, order.Wave)
	x.close()
	time.AfterFunc(maintenanceTime, func() {
		next := x.successor(x.pool)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.workers[order.Machine] = next
	})
}

// move moves a machine to another pool: its worker ends at once, and another one joins the
// pool after moveTime, unless the pool is the spare one, whose machines are off.
func (m *machineInterface) move(w http.ResponseWriter, r *http.Request) {
	var order struct{ Machine, Pool string }
	_ = json.NewDecoder(r.Body).Decode(&order)
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.machines, func(x map[string]any) bool { return x["machine"] == order.Machine })
	x := m.workers[order.Machine]
	switch {
	case i < 0 || x == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.machines[i]["pool"] == order.Pool:
		return
	}
	m.machines[i]["pool"] = order.Pool
	x.s.rec.note("platform: machine %s moves to pool %s", order.Machine, order.Pool)
	x.close()
	if order.Pool == sparePool {
		return
	}
	time.AfterFunc(moveTime, func() {
		next := x.successor(order.Pool)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.workers[order.Machine] = next
	})
}

// remove removes a machine that is lost for good.
func (m *machineInterface) remove(w *worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.workers, w.machine)
	m.machines = slices.DeleteFunc(m.machines, func(x map[string]any) bool { return x["machine"] == w.machine })
}

// add adds the machine of a worker to the list.
func (m *machineInterface) add(w *worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers[w.machine] = w
	m.machines = append(m.machines, map[string]any{
		"machine": w.machine, "pool": w.pool, "state": "up", "zone": w.zone, "labels": []string{"a", "r1-1"},
		"freeResources": w.capacity(), "id": w.id,
	})
}
