package limits

import (
	"fmt"

	"camphorridge/core/state/model"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of error.
const (
	// KindInvalid means that the contract contradicts itself.
	KindInvalid Kind = "form"
	// KindRefused means that the evaluation refused the contract.
	KindRefused Kind = "short"
)

// Error is the error type of the package: the failed operation, the kind of
// error and its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Validate checks a contract for contradictions, such as a name that is missing
// or used twice or a number below its minimum. It returns the first one that it
// finds as an *Error of KindInvalid.
func Validate(c model.Contract) error {
	fail := func(format string, args ...any) error {
		return &Error{Op: "check contract " + string(c.Customer), Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
	}
	if c.Customer == "" {
		return fail("no customer is named")
	}
	if len(c.Pools) == 0 {
		return fail("no pool is promised")
	}
	seen := map[model.Pool]bool{}
	for _, p := range c.Pools {
		switch {
		case p.Pool == "":
			return fail("a pool has no name")
		case seen[p.Pool]:
			return fail("pool %s is listed twice", p.Pool)
		case p.Instances < 1:
			return fail("pool %s promises %d instances, must be at least 1", p.Pool, p.Instances)
		case p.Pool == c.SparePool:
			return fail("pool %s is both a promised pool and the spare pool", p.Pool)
		}
		seen[p.Pool] = true
	}
	if c.Spare > 0 && c.SparePool == "" {
		return fail("spare is %d but no spare pool is named", c.Spare)
	}
	if c.WindowMillis == 0 && c.BudgetMillis > 0 {
		return fail("budget-ms is %d, must be 0 because window-ms is 0", c.BudgetMillis)
	}
	for _, f := range nonNegativeNumbers(c) {
		if f.Value < 0 {
			return fail("%s is %d, must be at least 0", f.Name, f.Value)
		}
	}
	if c.Covers < model.DomainInstance || c.Covers > model.DomainZone {
		return fail("covers is %d, must be 0 (instance), 1 (rack) or 2 (zone)", int(c.Covers))
	}
	return nil
}

// nonNegativeNumbers lists the numbers of a contract that must be at least 0.
func nonNegativeNumbers(c model.Contract) []Operand {
	return []Operand{
		{"concurrency", int64(c.Concurrency)},
		{"queue", int64(c.Queue)},
		{"retry-percent", int64(c.RetryPercent)},
		{"max-unavailable", int64(c.MaxUnavailable)},
		{"budget-ms", int64(c.BudgetMillis)},
		{"window-ms", int64(c.WindowMillis)},
		{"spare", int64(c.Spare)},
		{"milli-cores", int64(c.Quota.MilliCores)},
		{"memory-mib", int64(c.Quota.MemoryMiB)},
		{"accelerators", int64(c.Quota.Accelerators)},
	}
}
