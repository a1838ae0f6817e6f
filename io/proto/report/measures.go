package report

import (
	"fmt"
	"io"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

// Measures writes the rollout times of contract changes, the numbers of moves, of
// finished maintenances and of idle instances, and the progress of the maintenance
// waves.
func Measures(w io.Writer, f Format, m trail.Measures) error {
	return render(w, "report measures", f, func() string { return measuresText(m) }, func() any { return measuresObject(m) })
}

func measuresText(m trail.Measures) string {
	var b strings.Builder
	t := newTable("MEASURE", "VALUE")
	t.add("contract changes in the time line", len(m.Rollouts))
	t.add("median rollout time of a contract change", millisText(m.MedianRollout))
	t.add("longest rollout time of a contract change", millisText(m.LongestRollout))
	t.add("moves", m.Moves)
	t.add("maintained", m.FinishedMaintenances)
	t.add("idle instances", m.IdleInstances)
	b.WriteString(t.String())
	waves := newTable("WAVE", "DONE", "OF", "ELAPSED")
	for _, wave := range m.Waves {
		waves.add(wave.Name, wave.Maintained, wave.Selected, durationText(wave.Elapsed))
	}
	if len(m.Waves) > 0 {
		writeSection(&b, "Waves", waves)
	}
	incomplete := newTable("VERSION", "MISSING")
	for _, r := range m.Rollouts {
		if len(r.Missing) > 0 {
			incomplete.add(r.Version, processNames(r.Missing))
		}
	}
	// An entry process that has applied the last change has applied the earlier ones
	// too, so the list is left out if no process lacks the last one.
	if len(m.Rollouts) > 0 && m.Rollouts[len(m.Rollouts)-1].Missing != nil {
		writeSection(&b, "Contract changes not yet applied by all entry processes", incomplete)
	}
	return b.String()
}

func millisText(m clock.Millis) string { return fmt.Sprintf("%d ms", m) }

// processNames returns the names of the processes, separated by commas.
func processNames(processes []model.Process) string {
	names := make([]string, 0, len(processes))
	for _, p := range processes {
		names = append(names, string(p))
	}
	return strings.Join(names, ", ")
}

func measuresObject(m trail.Measures) object {
	return object{
		{"changes", mapObjects(m.Rollouts, func(r trail.Rollout) object {
			return object{{"version", r.Version}, {"elapsed-ms", r.Elapsed}, {"missing", processNames(r.Missing)}}
		})},
		{"roll-out-median-ms", m.MedianRollout},
		{"roll-out-worst-ms", m.LongestRollout},
		{"moves", m.Moves},
		{"maintained", m.FinishedMaintenances},
		{"waves", mapObjects(m.Waves, func(wave trail.WaveProgress) object {
			return object{{"wave", wave.Name}, {"done", wave.Maintained}, {"of", wave.Selected}, {"elapsed-ms", wave.Elapsed}}
		})},
		{"idle-instances", m.IdleInstances},
	}
}
