package runner

import (
	"fmt"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/sched"
)

// loadPeriod is the interval between two notes on the leader's load.
const loadPeriod = 2 * clock.Second

// load is what the leader has handled since the latest note on its load.
type load struct {
	since      clock.Millis
	heartbeats int
	// calls counts the calls by CallKind, with those refused for overload, which
	// refusedCalls counts as well.
	calls        [CallGetWave + 1]int
	refusedCalls int
	passes       int
	commits      int
	// oldestHeartbeat and oldestCall are the longest times from the receipt of an
	// input until it was handled.
	oldestHeartbeat clock.Millis
	oldestCall      clock.Millis
	longestPass     clock.Millis
	longestCommit   clock.Millis
}

// callNames are the names of the kinds of call in logs.
var callNames = [...]string{
	CallSubmit: "submit", CallStatus: "status", CallCancel: "cancel", CallPending: "pending", CallPing: "ping", CallExplain: "explain",
	CallList: "list", CallCustomers: "customers", CallConfigure: "configure", CallGetConfig: "get-config", CallDeclareWave: "declare-wave", CallGetWave: "get-wave",
}

// String describes the load for logs.
func (l *load) String() string {
	var calls strings.Builder
	for kind, n := range l.calls {
		if n > 0 {
			fmt.Fprintf(&calls, " %d %s,", n, callNames[kind])
		}
	}
	return fmt.Sprintf("%d heartbeats, the oldest after %d ms; calls:%s %d of them refused, the oldest after %d ms; %d passes, the longest %d ms; %d commits, the longest %d ms",
		l.heartbeats, l.oldestHeartbeat, calls.String(), l.refusedCalls, l.oldestCall, l.passes, l.longestPass, l.commits, l.longestCommit)
}

// noteLoad adds a note on the load of this leader, and publishes the reports on customers,
// at intervals of loadPeriod.
func (r *Runner[G, M, O, J]) noteLoad(now clock.Millis) {
	if now < r.load.since+loadPeriod {
		return
	}
	if r.load.since > 0 && r.notes != nil {
		r.notes([]sched.Note{{Decision: sched.DecisionLeaderLoad, Reason: fmt.Sprintf("in %d ms: %s", now-r.load.since, &r.load)}})
	}
	r.load = load{since: now}
	r.publishCustomers()
}
