package sched

import "camphorridge/core/state/clock"

// Timing of the pace of reports.
const (
	// maxReportAgeMillis is the age of a report when it is handled above which the
	// leader counts as overloaded.
	maxReportAgeMillis clock.Millis = 12
	// pacePeriodMillis is the interval between two changes of the pace.
	pacePeriodMillis clock.Millis = 100
	// paceStepMillis is the first delay, and by how much it grows in a period.
	paceStepMillis clock.Millis = 40
)

// pace delays the replies to reports while the leader is overloaded. A worker sends its
// next report only after the reply, and 50 ms after a task ended even if it was told to
// pause for longer, so that the reports of a large fleet can take all of the leader's
// processor time. A delayed reply covers the ends of several tasks.
type pace struct {
	// delay is how long replies are delayed; 0 to the scheduler's longest.
	delay clock.Millis
	// oldest is the greatest age of a report since changedAt.
	oldest    clock.Millis
	changedAt clock.Millis
}

// observe notes the age of a report that is being handled.
func (p *pace) observe(age clock.Millis) { p.oldest = max(p.oldest, age) }

// update changes the delay if a period has passed: it grows by a step while reports are
// old when they are handled, and otherwise shrinks by a quarter.
func (p *pace) update(now, longest clock.Millis) {
	if now < p.changedAt+pacePeriodMillis {
		return
	}
	if p.oldest > maxReportAgeMillis {
		p.delay = min(p.delay+paceStepMillis, longest)
	} else {
		p.delay -= (p.delay + 3) / 4
	}
	p.oldest, p.changedAt = 0, now
}
