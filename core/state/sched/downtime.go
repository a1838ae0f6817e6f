package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maxHeartbeatDelayMillis is the longest time that a heartbeat is assumed to be
// in transit. A worker sends the next one if it gets no reply for that long.
const maxHeartbeatDelayMillis = clock.Second

// earliestReturn returns the time before which no worker can return from a
// maintenance ordered at the given time. Clocks may differ by DriftPermille.
func (s *Scheduler[P, H]) earliestReturn(orderedAt clock.Millis) clock.Millis {
	return orderedAt + s.settings.MaintenanceMillis*(1000-s.settings.DriftPermille)/1000
}

// endsWith reports whether a worker of the machine has returned from the
// downtime. A heartbeat of another incarnation before earliestReturn may come from
// a worker that joined while the order was in flight, such as after a move, and
// that the maintenance ended. From backAt on, the worker that was known when the
// order was confirmed has returned too.
func (d downtime) endsWith(w *worker) bool {
	another := d.incarnation != 0 && w.incarnation != d.incarnation
	return (another && w.heardAt >= d.earliestReturn) || (d.backAt != 0 && w.heardAt >= d.backAt)
}

// setConfirmed notes that the platform has confirmed the order for a machine, which
// is back one maintenance later at the latest. A heartbeat before that time may be
// a late one of the worker that the maintenance ended.
func (s *Scheduler[P, H]) setConfirmed(v *wave, m jobs.MachineID, now clock.Millis) {
	down := v.down[m]
	down.backAt = now + s.settings.MaintenanceMillis*(1000+s.settings.DriftPermille)/1000
	v.down[m] = down
}

// confirmDowntime restarts the downtime of a machine whose order has been
// carried out or may have been. The order may have ended the worker that is
// known now, even if that worker joined after the order was given, and a
// heartbeat of that time may still be in transit.
func (s *Scheduler[P, H]) confirmDowntime(v *wave, m jobs.MachineID, now clock.Millis) {
	down := v.down[m]
	down.since = now
	down.earliestReturn = max(down.earliestReturn, now+maxHeartbeatDelayMillis)
	if w := s.workerByMachine[m]; w != nil {
		down.incarnation = w.incarnation
	}
	v.down[m] = down
}

// beingMoved reports whether a machine is being moved to another pool. The
// platform refuses to maintain such a machine, and the refused order would take
// the place of a machine that can go down.
func (s *Scheduler[P, H]) beingMoved(m jobs.MachineID, now clock.Millis) bool {
	move, ok := s.fleet.moves[m]
	return ok && now-move.orderedAt <= moveTimeoutMillis
}
