package admit

// Picker chooses the queue whose first waiter runs next and returns its index. It
// gets at least one queue, and only queues that are not empty and whose customer is
// below its share.
type Picker interface {
	Pick(queues []*QueueInfo) int
}

// QueueInfo describes the queue of a customer in one pool to a picker.
type QueueInfo struct {
	// Weight is at least 1.
	Weight int
	// VirtualTime is the virtual time at which the next request starts. It never
	// decreases.
	VirtualTime float64
	// FirstArrival is the arrival number of the first waiter. Arrival numbers are
	// counted over all queues.
	FirstArrival uint64
}

// WeightedFair picks the queue with the lowest virtual time. Each request that
// starts advances the virtual time of its queue by 1/weight, so busy queues start
// requests in proportion to their weights and a flood in one queue does not delay
// the others.
type WeightedFair struct{}

// Pick returns the index of the queue with the lowest VirtualTime.
func (WeightedFair) Pick(queues []*QueueInfo) int {
	best := 0
	for i, q := range queues {
		if q.VirtualTime < queues[best].VirtualTime {
			best = i
		}
	}
	return best
}

// FIFO is the baseline: it serves all customers' requests in the order of arrival.
type FIFO struct{}

// Pick returns the index of the queue whose first waiter arrived first.
func (FIFO) Pick(queues []*QueueInfo) int {
	best := 0
	for i, q := range queues {
		if q.FirstArrival < queues[best].FirstArrival {
			best = i
		}
	}
	return best
}
