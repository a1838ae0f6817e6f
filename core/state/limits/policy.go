package limits

// MinSlots counts every instance with the slots of the smallest one of its pool, so
// that the concurrency fits whichever instances are in service.
type MinSlots struct{}

// PerInstance returns the smallest number of slots; 0 for an empty list.
func (MinSlots) PerInstance(slots []int) int {
	if len(slots) == 0 {
		return 0
	}
	return slots[0]
}

// MeanSlots counts every instance with the mean slots of its pool, rounded down. It
// admits more requests than MinSlots and may exceed the slots of the smallest
// instances.
type MeanSlots struct{}

// PerInstance returns the mean number of slots; 0 for an empty list.
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

// RefusalPolicy decides which shortfalls lead to the refusal of a contract.
type RefusalPolicy interface {
	Refuses(Shortfall) bool
}

// RefuseImpossible refuses a contract that contradicts itself or that, together
// with all other contracts, needs more instances than the fleet owns. With any other
// shortfall the contract is accepted and the shortfall reported.
type RefuseImpossible struct{}

// Refuses reports whether s makes the contract impossible.
func (RefuseImpossible) Refuses(s Shortfall) bool {
	return s.Kind == ShortfallInvalid || s.Kind == ShortfallInstances
}

// RefuseAny refuses a contract that has any shortfall.
type RefuseAny struct{}

// Refuses returns true.
func (RefuseAny) Refuses(Shortfall) bool { return true }

// RefuseInvalid is the baseline: it refuses only a contract that contradicts
// itself and reports all other shortfalls.
type RefuseInvalid struct{}

// Refuses reports whether s is a contradiction inside the contract.
func (RefuseInvalid) Refuses(s Shortfall) bool { return s.Kind == ShortfallInvalid }
