package raft

import (
	"encoding/binary"
	"slices"

	"github.com/anishathalye/porcupine"
)

// request is a client operation on the replicated register.
type request struct {
	kind     byte
	old, new int64
}

// The kinds of request. Tests choose one by its position in "wcr".
const (
	opWrite          = 'w'
	opCompareAndSwap = 'c'
	opRead           = 'r'
	// noReturn is the return time of an operation without an answer.
	noReturn = int64(1) << 62
)

// register is the sequential model of the register. The output of a read is the
// value, and the output of a compare-and-swap is 1 if it replaced the value and 0
// otherwise. An output of -1 means that the client has not received the outcome.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(int64), input.(request), output.(int64)
		switch in.kind {
		case opRead:
			return out == value, value
		case opWrite:
			return true, in.new
		}
		swapped := value == in.old
		if out >= 0 && (out == 1) != swapped {
			return false, value
		}
		if swapped {
			return true, in.new
		}
		return true, value
	},
}

func (h *host) change(q request) int64 {
	if q.kind == opCompareAndSwap && h.value != q.old {
		return 0
	}
	h.value = q.new
	return 1
}

func (q request) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{q.kind}, uint64(q.old))
	return binary.BigEndian.AppendUint64(b, uint64(q.new))
}

func decodeRequest(b []byte) request {
	return request{b[0], int64(binary.BigEndian.Uint64(b[1:])), int64(binary.BigEndian.Uint64(b[9:]))}
}

// submit submits a request to a host, which may be a stale leader. A frozen
// process resumes with the request, before its clock has advanced.
func (sim *simulation) submit(h *host, q request) {
	h.frozen = false
	if h.node == nil {
		return
	}
	op := len(sim.history)
	sim.operationClock++
	record := porcupine.Operation{ClientId: op, Input: q, Call: sim.operationClock, Output: int64(-1), Return: noReturn}
	if q.kind == opRead {
		if h.node.ReadIndex(uint64(op), sim.clockOf(h)) != nil {
			return
		}
		h.pendingReads[uint64(op)] = op
	} else {
		index, term, err := h.node.Propose(q.encode(), sim.clockOf(h))
		if err != nil {
			return
		}
		h.pendingWrites[index] = pendingWrite{term, op}
	}
	sim.history = append(sim.history, record)
	sim.process(h)
}

func (sim *simulation) reply(op int, result int64) {
	sim.operationClock++
	sim.history[op].Output, sim.history[op].Return = result, sim.operationClock
}

func (sim *simulation) answerRead(h *host, r ReadReady) {
	if r.Index > h.applied {
		sim.failf("host %d answers a read at index %d, but has applied entries only up to index %d", h.self.ID, r.Index, h.applied)
	}
	if op, ok := h.pendingReads[r.Context]; ok {
		sim.reply(op, h.value)
		delete(h.pendingReads, r.Context)
	}
}

// linearizable reports whether the client history is linearizable. Reads without
// an answer do not constrain the history and are left out.
func (sim *simulation) linearizable() bool {
	done := slices.DeleteFunc(slices.Clone(sim.history), func(o porcupine.Operation) bool {
		return o.Input.(request).kind == opRead && o.Return == noReturn
	})
	return porcupine.CheckOperations(register, done)
}
