package conf

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maxOccurrences is the largest value of the key occurrences.
const maxOccurrences = 1000

// jobFile is a job file while it is parsed. Dependencies are resolved from names to
// indexes when all steps are known.
type jobFile struct {
	job jobs.Job
	// stepNames holds the names of the steps, in the order of job.Steps.
	stepNames []string
	// dependsOn holds, for each step, the names of the steps it depends on.
	dependsOn [][]string
}

// LoadJob reads a job from a file.
func LoadJob(path string) (jobs.Job, error) { return load(path, ParseJob) }

// ParseJob parses a job. Errors name the input as file.
func ParseJob(file string, data []byte) (jobs.Job, error) {
	f, err := decode("job", file, data, jobKeys(), checkJob)
	return f.job, err
}

// step returns the step with the given name and the names of the steps it
// depends on. It adds the step if it is new.
func (f *jobFile) step(name string) (*jobs.Step, *[]string) {
	i := slices.Index(f.stepNames, name)
	if i < 0 {
		i = len(f.stepNames)
		f.stepNames = append(f.stepNames, name)
		f.dependsOn = append(f.dependsOn, nil)
		f.job.Steps = append(f.job.Steps, jobs.Step{TaskCount: 1})
	}
	return &f.job.Steps[i], &f.dependsOn[i]
}

// jobKeys returns the table of keys of a job file.
func jobKeys() []Key[jobFile] {
	return append([]Key[jobFile]{
		textKey("job", "id", "", nameRule, "ID of the job; submitting a job again with the same ID does not create another job", func(f *jobFile) *jobs.ID { return &f.job.ID }),
		textKey("job", "queue", "", nameRule, "name of a queue in the current configuration", func(f *jobFile) *jobs.QueueName { return &f.job.Queue }),
		optional(textKey("job", "spec", "", specRule, "text that is passed to the workers unchanged", func(f *jobFile) *string { return &f.job.Spec })),
		intKey("job", "occurrences", "", "0", 0, maxOccurrences, "number of times that the steps run; 0 to run them once, immediately", func(f *jobFile) *int { return &f.job.OccurrenceCount }),
		intKey("job", "first-ms", "ms", "0", 0, clock.Millis(1)<<52, "time of the first occurrence, counted from 1970-01-01 UTC", func(f *jobFile) *clock.Millis { return &f.job.FirstDue }),
		intKey("job", "interval-ms", "ms", "0", 0, 366*clock.Day, "time from one occurrence to the next", func(f *jobFile) *clock.Millis { return &f.job.Interval }),
	}, stepKeys()...)
}

// stepKeys returns the keys of the section of a step. All of them are optional.
func stepKeys() []Key[jobFile] {
	const maxAmount = 1_000_000
	return []Key[jobFile]{
		stepIntKey("tasks", "", 1, jobs.MaxTasks, "number of tasks; 1 if absent", func(s *jobs.Step) *int { return &s.TaskCount }),
		stepIntKey("milli-cores", "1/1000 core", 0, maxAmount, "processor capacity that each task requires", func(s *jobs.Step) *int { return &s.Resources.MilliCores }),
		stepIntKey("memory-mib", "MiB", 0, maxAmount*1000, "memory that each task requires", func(s *jobs.Step) *int { return &s.Resources.MemoryMiB }),
		stepIntKey("accelerators", "accelerators", 0, maxAmount, "accelerators that each task requires", func(s *jobs.Step) *int { return &s.Resources.Accelerators }),
		stepIntKey("estimate-ms", "ms", 0, 366*clock.Day, "approximate duration of a task", func(s *jobs.Step) *clock.Millis { return &s.Estimate }),
		stepIntKey("per-worker", "tasks", 0, jobs.MaxTasks, "largest number of tasks of the step on one worker; 0 for no limit", func(s *jobs.Step) *int { return &s.MaxPerWorker }),
		stepIntKey("may-miss", "tasks", 0, jobs.MaxTasks, "number of lasting tasks of the step that the scheduler may make unavailable at the same time", func(s *jobs.Step) *int { return &s.MaxUnavailable }),
		stepIntKey("latency-ms", "ms", 0, clock.Hour, "limit on the tail latency of a serving task; 0 for none", func(s *jobs.Step) *clock.Millis { return &s.LatencyTarget }),
		stepFlagKey("checkpoints", "tasks save checkpoints", func(s *jobs.Step) *bool { return &s.Checkpoints }),
		stepFlagKey("gang", "tasks can only work together, all running at the same time", func(s *jobs.Step) *bool { return &s.Gang }),
		stepFlagKey("same-rack", "tasks of the gang work faster on workers of one rack", func(s *jobs.Step) *bool { return &s.SameRack }),
		stepFlagKey("copies", "several concurrent runs of a task are allowed; the scheduler never starts more than one", func(s *jobs.Step) *bool { return &s.Speculative }),
		stepFlagKey("lasting", "tasks run until the job is cancelled", func(s *jobs.Step) *bool { return &s.LongRunning }),
		stepFlagKey("filler", "tasks use processor time that other tasks leave unused", func(s *jobs.Step) *bool { return &s.BestEffort }),
		stepTextKey("label", "label that a worker must have", func(s *jobs.Step) *string { return &s.RequiredLabel }),
		stepTextKey("data-rack", "rack closest to the data of the tasks", func(s *jobs.Step) *string { return &s.DataRack }),
		stepTextKey("image", "image that the tasks run; tasks with the same image behave alike", func(s *jobs.Step) *string { return &s.Image }),
		{
			Section: "step " + namePlaceholder, Name: "after", Optional: true, Allowed: "names of earlier steps in the file, separated by commas",
			Meaning: "steps that must be done before this step starts",
			set: func(f *jobFile, name, value string) bool {
				_, dependencies := f.step(name)
				for n := range strings.SplitSeq(value, ",") {
					*dependencies = append(*dependencies, strings.TrimSpace(n))
				}
				return true
			},
		},
	}
}

// stepIntKey returns a key in the section of a step whose value is a whole number
// from lo to hi.
func stepIntKey[V integer](name, unit string, lo, hi V, meaning string, field func(*jobs.Step) *V) Key[jobFile] {
	return stepKey(name, unit, fmt.Sprintf("%d to %d", lo, hi), meaning, func(s *jobs.Step, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		*field(s) = V(n)
		return err == nil && n >= int64(lo) && n <= int64(hi)
	})
}

// stepFlagKey returns a key in the section of a step whose value is yes or no.
func stepFlagKey(name, meaning string, field func(*jobs.Step) *bool) Key[jobFile] {
	return stepKey(name, "", "yes, no", meaning, func(s *jobs.Step, value string) bool {
		*field(s) = value == "yes"
		return value == "yes" || value == "no"
	})
}

// stepTextKey returns a key in the section of a step whose value is a name.
func stepTextKey(name, meaning string, field func(*jobs.Step) *string) Key[jobFile] {
	return stepKey(name, "", nameRule.allowed, meaning, func(s *jobs.Step, value string) bool {
		*field(s) = value
		return nameRule.accepts(value)
	})
}

// stepKey returns an optional key in the section of a step.
func stepKey(name, unit, allowed, meaning string, set func(*jobs.Step, string) bool) Key[jobFile] {
	return Key[jobFile]{
		Section: "step " + namePlaceholder, Name: name, Unit: unit, Optional: true, Allowed: allowed, Meaning: meaning,
		set: func(f *jobFile, step, value string) bool {
			s, _ := f.step(step)
			return set(s, value)
		},
	}
}

// checkJob resolves the names in the after keys to step indexes. It also checks that
// there is a step and that the job has at most jobs.MaxTasks tasks over all
// occurrences.
func checkJob(d *decoder[jobFile]) {
	f := &d.value
	tasks := 0
	for i, dependencies := range f.dependsOn {
		tasks += f.job.Steps[i].TaskCount
		for _, n := range dependencies {
			dependency := slices.Index(f.stepNames, n)
			if dependency < 0 || dependency >= i {
				d.addProblem("step "+f.stepNames[i], "after", n, "no earlier step has this name", joinDistinct(f.stepNames[:i]))
				continue
			}
			f.job.Steps[i].DependsOn = append(f.job.Steps[i].DependsOn, dependency)
		}
	}
	if len(f.job.Steps) == 0 {
		d.addProblem("step "+namePlaceholder, "", "", "no step", "at least one section [step NAME] with a key")
	}
	if tasks*max(f.job.OccurrenceCount, 1) > jobs.MaxTasks {
		d.addProblem("job", "", fmt.Sprint(tasks*max(f.job.OccurrenceCount, 1)), "too many tasks over all occurrences", fmt.Sprintf("at most %d", jobs.MaxTasks))
	}
}
