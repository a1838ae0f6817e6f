package sched

import (
	"fmt"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// evidence is the reason why the maintenance of a machine counts as started.
type evidence int

// The kinds of evidence.
const (
	// evidenceAnswer means that the platform confirmed the order.
	evidenceAnswer evidence = iota
	// evidenceAbsence means that the machine no longer exists.
	evidenceAbsence
	evidenceKinds
)

var evidenceNames = [evidenceKinds]string{"answered", "absent"}

// recordStarted records that the maintenance of a machine of a wave has
// started, or that the machine no longer exists.
func (s *Scheduler[P, H]) recordStarted(v *wave, m jobs.MachineID, e evidence, now clock.Millis) {
	if v.Started[m] {
		return
	}
	s.apply(jobs.Op{Kind: jobs.OpMaintenanceStarted, WaveNumber: v.Number, Machine: m}, now)
	v.recorded[e]++
	if v.isComplete() {
		s.noteFleet(DecisionWaveCompleted, v.explainCompletion())
	}
}

// explainCompletion says by which evidence the maintenance of the machines of a
// wave counts as started.
func (v *wave) explainCompletion() string {
	var b strings.Builder
	fmt.Fprintf(&b, "wave %d, %d machines", v.Number, len(v.Machines))
	before := len(v.Started)
	for e, n := range v.recorded {
		fmt.Fprintf(&b, ", %d %s", n, evidenceNames[e])
		before -= n
	}
	fmt.Fprintf(&b, ", %d recorded before this term", before)
	return b.String()
}

// explainList describes a list of machines for logs.
func explainList(list Outcome) string {
	reason := fmt.Sprintf("the list has %d machines", len(list.Machines))
	if list.Incomplete {
		reason += " and may lack some"
	}
	if list.Reason != "" {
		reason += ": " + list.Reason
	}
	return reason
}
