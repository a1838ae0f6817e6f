package limits

// MinSlots counts every instance of a pool like its smallest one, so that
// the concurrency fits whichever instances are in service.
type MinSlots struct{}

// PerInstance returns the smallest number.
func (MinSlots) PerInstance(slots []int) int {
	if len(slots) == 0 {
		return 0
	}
	return slots[0]
}

// MeanSlots counts every instance like the mean of its pool, rounded down. It
// admits more than LowestSlots and may exceed what the smallest instances
// hold.
type MeanSlots struct{}

// PerInstance returns the mean.
func (MeanSlots) PerInstance(slots []int) int {
	if len(slots) == 0 {
		return 0
	}
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum / len(slots)
}

// FixedSlots is the baseline: the same number for every instance.
type FixedSlots struct {
	// N is at least 1.
	N int
}

// PerInstance returns N.
func (p FixedSlots) PerInstance([]int) int { return p.N }

// RefusalPolicy is the policy that says which shortfalls refuse a contract.
type RefusalPolicy interface {
	Refuses(Shortfall) bool
}

// RefuseImpossible refuses a contract that contradicts itself or takes instances that
// are not owned. Every other shortfall is stated and the contract accepted.
type RefuseImpossible struct{}

// Refuses reports whether s makes the contract impossible.
func (RefuseImpossible) Refuses(s Shortfall) bool {
	return s.Kind == ShortfallInvalid || s.Kind == ShortfallInstances
}

// RefuseAny refuses a contract with any shortfall.
type RefuseAny struct{}

// Refuses returns true.
func (RefuseAny) Refuses(Shortfall) bool { return true }

// RefuseInvalid is the baseline: it refuses only a contract that contradicts
// itself, and states the rest.
type RefuseInvalid struct{}

// Refuses reports whether s is a contradiction inside the contract.
func (RefuseInvalid) Refuses(s Shortfall) bool { return s.Kind == ShortfallInvalid }
