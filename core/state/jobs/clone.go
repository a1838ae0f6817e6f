package jobs

import (
	"maps"
	"slices"
)

// Clone returns a copy of the state. Operations on one of the two do not affect
// the other; data that no operation modifies is shared.
func (s *State) Clone() *State {
	c := *s
	c.EndedJobs = slices.Clone(s.EndedJobs)
	c.Tombstones = slices.Clone(s.Tombstones)
	c.MachineOrders = slices.Clone(s.MachineOrders)
	c.CancelledAt = maps.Clone(s.CancelledAt)
	c.Jobs = make(map[ID]*Record, len(s.Jobs))
	for id, r := range s.Jobs {
		c.Jobs[id] = r.clone()
	}
	c.Waves = make(map[int]*Wave, len(s.Waves))
	for n, wave := range s.Waves {
		waveCopy := *wave
		waveCopy.Ordered, waveCopy.Started = maps.Clone(wave.Ordered), maps.Clone(wave.Started)
		c.Waves[n] = &waveCopy
	}
	return &c
}

func (r *Record) clone() *Record {
	c := *r
	c.Occurrences = slices.Clone(r.Occurrences)
	for k := range c.Occurrences {
		steps := slices.Clone(c.Occurrences[k].Steps)
		for i := range steps {
			steps[i].Tasks = slices.Clone(steps[i].Tasks)
		}
		c.Occurrences[k].Steps = steps
	}
	return &c
}
