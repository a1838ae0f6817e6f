package sched

import "fmt"

// startOverheadBytes is the size of a start order apart from its texts.
const startOverheadBytes = 32

// startOrder returns the order to start a run from the task's latest
// checkpoint.
func (s *Scheduler[P, H]) startOrder(w *worker, r *run) Start {
	ticket, _ := s.ticket(w, stepKeyOf(r.task), s.now)
	return Start{Task: r.task, Run: r.number, Spec: r.rec.Spec, Checkpoint: r.rec.Task(r.task).Checkpoint, Ticket: ticket}
}

// size returns the size of a start order without its encoding.
func (o *Start) size() int {
	return len(o.Task.Job) + len(o.Spec) + len(o.Checkpoint) + len(o.Ticket) + startOverheadBytes
}

// limitStarts removes the start orders that exceed MaxStartBytes from the reply to a
// worker's heartbeat, and reports whether there are any. repeatOrders adds them to the
// next reply, because the next heartbeat does not list these runs.
func (s *Scheduler[P, H]) limitStarts(w *worker) bool {
	starts, size := w.heartbeat.starts, 0
	for i := range starts {
		size += starts[i].size()
		if size <= s.settings.MaxStartBytes || i == 0 {
			continue
		}
		w.heartbeat.starts = starts[:i]
		s.deferStarts(w, starts[i:])
		s.noteWorker(DecisionStartsDeferred, w, fmt.Sprintf("%d of %d start orders are in this reply, the others would make it too large", i, len(starts)))
		return true
	}
	return false
}

// deferStarts notes that orders have not been sent. The time after which a run that is
// not listed is lost begins with the next heartbeat.
func (s *Scheduler[P, H]) deferStarts(w *worker, starts []Start) {
	for _, o := range starts {
		if r := w.runs[o.Task]; r != nil {
			r.unlistedSince = 0
		}
	}
}
