package conf

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maxTimes bounds the occurrences of a job.
const maxTimes = 1000

// jobFile is a job as it is read; names holds the names of its steps.
type jobFile struct {
	job   jobs.Job
	names []string
	// after holds the names of the steps that each step waits for.
	after [][]string
}

// LoadJob reads a job file.
func LoadJob(path string) (jobs.Job, error) { return load(path, ParseJob) }

// ParseJob reads a job; file is named in errors.
func ParseJob(file string, data []byte) (jobs.Job, error) {
	f, err := decode("job", file, data, jobKeys(), checkJob)
	return f.job, err
}

// step returns the step of a name and adds it when it is new.
func (f *jobFile) step(name string) (*jobs.Step, *[]string) {
	i := slices.Index(f.names, name)
	if i < 0 {
		i = len(f.names)
		f.names = append(f.names, name)
		f.after = append(f.after, nil)
		f.job.Steps = append(f.job.Steps, jobs.Step{TaskCount: 1})
	}
	return &f.job.Steps[i], &f.after[i]
}

func jobKeys() []Key[jobFile] {
	return append([]Key[jobFile]{
		textKey("job", "id", "", nameRule, "identity of the job; a job that is handed in again under it is the same", func(f *jobFile) *jobs.ID { return &f.job.ID }),
		textKey("job", "queue", "", nameRule, "queue of the configuration in force", func(f *jobFile) *jobs.QueueName { return &f.job.Queue }),
		optional(textKey("job", "spec", "", specRule, "passed on to the workers as it is", func(f *jobFile) *string { return &f.job.Spec })),
		intKey("job", "occurrences", "", "0", 0, maxTimes, "times that the steps run; 0 for once, at once", func(f *jobFile) *int { return &f.job.OccurrenceCount }),
		intKey("job", "first-ms", "ms", "0", 0, clock.Millis(1)<<52, "time of the first occurrence since 1970", func(f *jobFile) *clock.Millis { return &f.job.FirstDue }),
		intKey("job", "interval-ms", "ms", "0", 0, 366*clock.Day, "time from one occurrence to the next", func(f *jobFile) *clock.Millis { return &f.job.Interval }),
	}, stepKeys()...)
}

// stepKeys are the keys of the sections of steps, all of them optional.
func stepKeys() []Key[jobFile] {
	const many = 1_000_000
	return []Key[jobFile]{
		stepInt("tasks", "", 1, jobs.MaxTasks, "number of tasks; 1 if absent", func(s *jobs.Step) *int { return &s.TaskCount }),
		stepInt("milli-cores", "1/1000 core", 0, many, "processor time of a task", func(s *jobs.Step) *int { return &s.Resources.MilliCores }),
		stepInt("memory-mib", "MiB", 0, many*1000, "memory of a task", func(s *jobs.Step) *int { return &s.Resources.MemoryMiB }),
		stepInt("accelerators", "accelerators", 0, many, "accelerators of a task", func(s *jobs.Step) *int { return &s.Resources.Accelerators }),
		stepInt("estimate-ms", "ms", 0, 366*clock.Day, "rough duration of a task", func(s *jobs.Step) *clock.Millis { return &s.Estimate }),
		stepInt("per-worker", "tasks", 0, jobs.MaxTasks, "most tasks of the step on one worker; 0 for no bound", func(s *jobs.Step) *int { return &s.MaxPerWorker }),
		stepInt("may-miss", "tasks", 0, jobs.MaxTasks, "lasting tasks that may be away at a time by the system's own action", func(s *jobs.Step) *int { return &s.MaxUnavailable }),
		stepInt("latency-ms", "ms", 0, clock.Hour, "bound on the tail of a serving task; 0 for none", func(s *jobs.Step) *clock.Millis { return &s.LatencyTarget }),
		stepFlag("checkpoints", "tasks save checkpoints", func(s *jobs.Step) *bool { return &s.Checkpoints }),
		stepFlag("gang", "tasks work only all together", func(s *jobs.Step) *bool { return &s.Gang }),
		stepFlag("same-rack", "tasks work faster in one rack", func(s *jobs.Step) *bool { return &s.SameRack }),
		stepFlag("copies", "several runs of a task may go on at a time", func(s *jobs.Step) *bool { return &s.Speculative }),
		stepFlag("lasting", "tasks run until the job is cancelled", func(s *jobs.Step) *bool { return &s.LongRunning }),
		stepFlag("filler", "tasks take processor time that others leave", func(s *jobs.Step) *bool { return &s.BestEffort }),
		stepText("label", "label that a worker must have", func(s *jobs.Step) *string { return &s.RequiredLabel }),
		stepText("data-rack", "rack of the data", func(s *jobs.Step) *string { return &s.DataRack }),
		stepText("image", "what the tasks run; tasks of one image behave alike", func(s *jobs.Step) *string { return &s.Image }),
		{
			Section: "step " + family, Name: "after", Optional: true, Allowed: "names of steps further up in the file, by comma",
			Meaning: "steps that have to be done first",
			set: func(f *jobFile, name, value string) bool {
				_, after := f.step(name)
				for n := range strings.SplitSeq(value, ",") {
					*after = append(*after, strings.TrimSpace(n))
				}
				return true
			},
		},
	}
}

func stepInt[V integer](name, unit string, lo, hi V, meaning string, field func(*jobs.Step) *V) Key[jobFile] {
	return stepKey(name, unit, fmt.Sprintf("%d to %d", lo, hi), meaning, func(s *jobs.Step, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		*field(s) = V(n)
		return err == nil && n >= int64(lo) && n <= int64(hi)
	})
}

func stepFlag(name, meaning string, field func(*jobs.Step) *bool) Key[jobFile] {
	return stepKey(name, "", "yes, no", meaning, func(s *jobs.Step, value string) bool {
		*field(s) = value == "yes"
		return value == "yes" || value == "no"
	})
}

func stepText(name, meaning string, field func(*jobs.Step) *string) Key[jobFile] {
	return stepKey(name, "", nameRule.allowed, meaning, func(s *jobs.Step, value string) bool {
		*field(s) = value
		return nameRule.accepts(value)
	})
}

func stepKey(name, unit, allowed, meaning string, set func(*jobs.Step, string) bool) Key[jobFile] {
	return Key[jobFile]{
		Section: "step " + family, Name: name, Unit: unit, Optional: true, Allowed: allowed, Meaning: meaning,
		set: func(f *jobFile, step, value string) bool {
			s, _ := f.step(step)
			return set(s, value)
		},
	}
}

// checkJob resolves the names of steps and bounds the size of the whole job.
func checkJob(d *decoder[jobFile]) {
	f := &d.value
	total := 0
	for i, names := range f.after {
		total += f.job.Steps[i].TaskCount
		for _, n := range names {
			before := slices.Index(f.names, n)
			if before < 0 || before >= i {
				d.add("step "+f.names[i], "after", n, "no step further up has this name", join(f.names[:i]))
				continue
			}
			f.job.Steps[i].DependsOn = append(f.job.Steps[i].DependsOn, before)
		}
	}
	if len(f.job.Steps) == 0 {
		d.add("step "+family, "", "", "no step", "one section or more, with a key in it")
	}
	if total*max(f.job.OccurrenceCount, 1) > jobs.MaxTasks {
		d.add("job", "", fmt.Sprint(total*max(f.job.OccurrenceCount, 1)), "too many tasks over all occurrences", fmt.Sprintf("at most %d", jobs.MaxTasks))
	}
}
