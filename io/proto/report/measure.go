package report

import (
	"fmt"
	"io"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

// Measures writes roll-out times, moves and the idle buffer.
func Measures(w io.Writer, f Format, m trail.Measures) error {
	return render(w, "report measures", f, func() string { return measuresText(m) }, func() any { return measuresObject(m) })
}

func measuresText(m trail.Measures) string {
	var b strings.Builder
	t := newTable("MEASURE", "VALUE")
	t.add("changes in the time line", len(m.Rollouts))
	t.add("roll-out of a change, median", millisText(m.MedianRollout))
	t.add("roll-out of a change, worst", millisText(m.LongestRollout))
	t.add("moves", m.Moves)
	t.add("maintained", m.FinishedMaintenances)
	t.add("idle instances", m.IdleInstances)
	b.WriteString(t.String())
	waves := newTable("WAVE", "DONE", "OF", "ELAPSED")
	for _, x := range m.Waves {
		waves.add(x.Name, x.Maintained, x.Selected, spanText(x.Elapsed))
	}
	if len(m.Waves) > 0 {
		section(&b, "Waves", waves)
	}
	open := newTable("VERSION", "MISSING")
	for _, r := range m.Rollouts {
		if len(r.Missing) > 0 {
			open.add(r.Version, names(r.Missing))
		}
	}
	if len(m.Rollouts) > 0 && m.Rollouts[len(m.Rollouts)-1].Missing != nil {
		section(&b, "Changes that are not in force everywhere", open)
	}
	return b.String()
}

func millisText(m clock.Millis) string { return fmt.Sprintf("%d ms", m) }

func names(all []model.Process) string {
	texts := make([]string, 0, len(all))
	for _, p := range all {
		texts = append(texts, string(p))
	}
	return strings.Join(texts, ", ")
}

func measuresObject(m trail.Measures) object {
	return object{
		{"changes", list(m.Rollouts, func(r trail.Rollout) object {
			return object{{"version", r.Version}, {"elapsed-ms", r.Elapsed}, {"missing", names(r.Missing)}}
		})},
		{"roll-out-median-ms", m.MedianRollout},
		{"roll-out-worst-ms", m.LongestRollout},
		{"moves", m.Moves},
		{"maintained", m.FinishedMaintenances},
		{"waves", list(m.Waves, func(x trail.Wave) object {
			return object{{"wave", x.Name}, {"done", x.Maintained}, {"of", x.Selected}, {"elapsed-ms", x.Elapsed}}
		})},
		{"idle-instances", m.IdleInstances},
	}
}
