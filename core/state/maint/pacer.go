package maint

// PacerInput is what a pacer decides by, for one customer.
type PacerInput struct {
	// PressurePermille is felt by the customer's callers, in permille.
	PressurePermille int
	// MaxUnavailable is the customer's max-unavailable.
	MaxUnavailable int
	// NeededForDeadline is the number at once that would just meet the deadline.
	NeededForDeadline int
}

// Pacer is the policy that says how many of a customer's instances may be in
// maintenance at once, given what its callers feel.
type Pacer interface {
	MaxConcurrent(PacerInput) int
}

// FullSpeedPacer is the baseline: as many as the contract allows, whatever callers
// feel.
type FullSpeedPacer struct{}

// MaxConcurrent returns the contract's bound.
func (FullSpeedPacer) MaxConcurrent(f PacerInput) int { return f.MaxUnavailable }

// ProportionalPacer slows down in proportion to the pressure and halts at Halt.
type ProportionalPacer struct {
	// HaltPermille is the pressure in permille at which nothing more starts; at
	// least 1.
	HaltPermille int
}

// MaxConcurrent is at least 1 below Halt, so that a wave under light pressure goes on.
func (p ProportionalPacer) MaxConcurrent(f PacerInput) int {
	if f.PressurePermille >= p.HaltPermille {
		return 0
	}
	return min(f.MaxUnavailable, max(1, f.MaxUnavailable*(p.HaltPermille-f.PressurePermille)/p.HaltPermille))
}

// DeadlinePacer slows down like Proportional but never below what the deadline
// needs, up to Halt.
type DeadlinePacer struct {
	// SlowPermille is the pressure in permille at which only the deadline's need
	// remains; Halt, at least SlowPermille, is where nothing more starts.
	SlowPermille int
	HaltPermille int
}

// MaxConcurrent returns the larger of both, within the contract's bound.
func (p DeadlinePacer) MaxConcurrent(f PacerInput) int {
	if f.PressurePermille >= p.HaltPermille {
		return 0
	}
	return min(f.MaxUnavailable, max(f.NeededForDeadline, ProportionalPacer{HaltPermille: p.SlowPermille}.MaxConcurrent(f)))
}
