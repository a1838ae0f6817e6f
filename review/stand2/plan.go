package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job: what the client hands in, and how its tasks behave.
type step struct {
	Count, CPU, Mem int
	// Millis is how long a task works.
	Millis int
	// Estimate is the estimate that is handed in; Millis if it is 0.
	Estimate    int
	After       []int
	Gang, Lasts bool
	Saves       bool
	PerMinion   int
	Label       string
	MayMiss     int
	// FailsOnce makes each task of the step fail at its first start, after Millis.
	FailsOnce bool
	// Image names what the tasks run. The minions do not need it.
	Image string `json:"-"`
}

// plan is a job. The minions know it from its spec.
type plan struct {
	Steps    []step
	Times    int
	FirstRun int64
	Interval int64
}

// maxSpecSteps is the largest number of steps that a spec holds. The steps of a longer job
// are all alike, and the spec holds the first.
const maxSpecSteps = 8

// spec encodes the steps of a plan, which the minions need to play its tasks.
func (p *plan) spec() string {
	steps := p.Steps
	if len(steps) > maxSpecSteps {
		steps = steps[:1]
	}
	b, _ := json.Marshal(steps)
	return string(b)
}

// body returns the body with which a job is handed in.
func (p *plan) body() string {
	var steps []string
	for _, s := range p.Steps {
		estimate := s.Estimate
		if estimate == 0 {
			estimate = s.Millis
		}
		line := fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":%d,"estimateMs":%d`, s.Count, s.CPU, s.Mem, estimate)
		if len(s.After) > 0 {
			b, _ := json.Marshal(s.After)
			line += `,"after":` + string(b)
		}
		for name, set := range map[string]bool{"gang": s.Gang, "longRunning": s.Lasts, "checkpointing": s.Saves} {
			if set {
				line += fmt.Sprintf(`,%q:true`, name)
			}
		}
		if s.PerMinion > 0 {
			line += fmt.Sprintf(`,"antiAffinity":%d`, s.PerMinion)
		}
		if s.MayMiss > 0 {
			line += fmt.Sprintf(`,"mayMiss":%d`, s.MayMiss)
		}
		if s.Image != "" {
			line += fmt.Sprintf(`,"image":%q`, s.Image)
		}
		if s.Label != "" {
			line += fmt.Sprintf(`,"requiredLabel":%q`, s.Label)
		}
		steps = append(steps, line+"}")
	}
	times := ""
	if p.Times > 0 {
		times = fmt.Sprintf(`,"times":%d,"firstRunMs":%d,"intervalMs":%d`, p.Times, p.FirstRun, p.Interval)
	}
	return fmt.Sprintf(`{"spec":%s,"steps":[%s]%s}`, strconv.Quote(p.spec()), strings.Join(steps, ","), times)
}

// job is what the client knows of a job that it has handed in.
type job struct {
	id   string
	plan *plan
	// attempts is that of the job's queue.
	attempts  int
	handedIn  time.Time
	cancelled time.Time
	// lastEnd is when a run of the job last ended.
	lastEnd time.Time
	// done holds the tasks that have ended as done, fails the failed runs that are taken
	// note of, and starts the number of starts.
	done   map[string]bool
	fails  map[string]int
	starts map[string]int
}

// taskName is the name of a task, ID.K.STEP.INDEX.
type taskName struct {
	job               string
	times, step, task int
}

func parseTask(s string) (taskName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	var n [3]int
	for i := range n {
		var err error
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return taskName{}, false
		}
	}
	return taskName{parts[0], n[0], n[1], n[2]}, true
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.times, t.step, t.task)
}

// group is the name of the task's step, ID.K.STEP.
func (t taskName) group() string { return fmt.Sprintf("%s.%d.%d", t.job, t.times, t.step) }
