package admit

// Picker chooses the line that runs next. It gets only lines that have a
// waiter and whose customer is below its share; there is at least one.
type Picker interface {
	Pick(lines []*QueueInfo) int
}

// QueueInfo is what a picker knows of a customer's line in one pool.
type QueueInfo struct {
	// Weight is at least 1.
	Weight int
	// VirtualTime is the virtual time of the next start; it only grows while the
	// line is in use.
	VirtualTime float64
	// FirstArrival is the arrival number of the first waiter; it grows over all lines.
	FirstArrival uint64
}

// WeightedFair picks the line with the lowest virtual time. A start moves the line's
// virtual time on by 1/weight, so busy lines start in proportion to their
// weights and a flood in one line does not delay the others.
type WeightedFair struct{}

// Pick returns the index of the line with the lowest Pass.
func (WeightedFair) Pick(lines []*QueueInfo) int {
	best := 0
	for i, t := range lines {
		if t.VirtualTime < lines[best].VirtualTime {
			best = i
		}
	}
	return best
}

// FIFO is the baseline: first come, first served over all customers.
type FIFO struct{}

// Pick returns the index of the line whose first waiter came first.
func (FIFO) Pick(lines []*QueueInfo) int {
	best := 0
	for i, t := range lines {
		if t.FirstArrival < lines[best].FirstArrival {
			best = i
		}
	}
	return best
}
