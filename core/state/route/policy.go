package route

// Candidate is an upstream with room for a request.
type Candidate struct {
	Upstream *Upstream
	// Capacity is the number of requests it may run now; above Upstream.Running.
	Capacity int
}

// Policy chooses among candidates; there is at least one. turn grows by one
// with each choice in the pool.
type Policy interface {
	Choose(candidates []Candidate, turn uint64) int
}

// LeastLoaded chooses the candidate whose room is used least. Among equals it
// takes turns, so that several entry processes do not all start with the same.
type LeastLoaded struct{}

// Choose returns the index of the least loaded candidate.
func (LeastLoaded) Choose(candidates []Candidate, turn uint64) int {
	n := len(candidates)
	best := int(turn % uint64(n))
	for i := 1; i < n; i++ {
		k := (int(turn%uint64(n)) + i) % n
		if load(candidates[k]) < load(candidates[best]) {
			best = k
		}
	}
	return best
}

func load(c Candidate) float64 {
	return float64(c.Upstream.Running) / float64(c.Capacity)
}

// RoundRobin is the baseline: the candidates one after the other.
type RoundRobin struct{}

// Choose returns the index of the candidate whose turn it is.
func (RoundRobin) Choose(candidates []Candidate, turn uint64) int {
	return int(turn % uint64(len(candidates)))
}
