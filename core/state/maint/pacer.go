package maint

// PacerInput is the input of a pacer for one customer.
type PacerInput struct {
	// UnservedPermille is the share of the customer's requests that were not
	// served, in permille; see model.CustomerLoad.
	UnservedPermille int
	// MaxUnavailable is the limit of the customer's contract.
	MaxUnavailable int
	// NeededForDeadline is the number of concurrent maintenances that just meets
	// the deadline.
	NeededForDeadline int
}

// Pacer decides how many of a customer's instances may be in maintenance at
// once, given the share of its requests that are not served.
type Pacer interface {
	MaxConcurrent(PacerInput) int
}

// FullSpeedPacer is the baseline: it allows as many as the contract allows,
// regardless of unserved requests.
type FullSpeedPacer struct{}

// MaxConcurrent returns the limit of the contract.
func (FullSpeedPacer) MaxConcurrent(in PacerInput) int { return in.MaxUnavailable }

// ProportionalPacer slows down in proportion to the share of unserved requests and
// stops at HaltPermille.
type ProportionalPacer struct {
	// HaltPermille is the share of unserved requests at which no more maintenance
	// starts; at least 1.
	HaltPermille int
}

// MaxConcurrent returns at least 1 below HaltPermille, so that a wave continues
// while few requests are unserved; but never more than the contract allows.
func (p ProportionalPacer) MaxConcurrent(in PacerInput) int {
	if in.UnservedPermille >= p.HaltPermille {
		return 0
	}
	return min(in.MaxUnavailable, max(1, in.MaxUnavailable*(p.HaltPermille-in.UnservedPermille)/p.HaltPermille))
}

// DeadlinePacer slows down like ProportionalPacer, but below HaltPermille it
// always allows as many as the deadline needs.
type DeadlinePacer struct {
	// SlowPermille is the share of unserved requests from which only as many are
	// allowed as the deadline needs; at least 1.
	SlowPermille int
	// HaltPermille is the share at which no more maintenance starts; at least
	// SlowPermille.
	HaltPermille int
}

// MaxConcurrent returns 0 from HaltPermille on. Below, it returns the larger of the
// proportional limit and the number that the deadline needs, within the limit of the
// contract.
func (p DeadlinePacer) MaxConcurrent(in PacerInput) int {
	if in.UnservedPermille >= p.HaltPermille {
		return 0
	}
	return min(in.MaxUnavailable, max(in.NeededForDeadline, ProportionalPacer{HaltPermille: p.SlowPermille}.MaxConcurrent(in)))
}
