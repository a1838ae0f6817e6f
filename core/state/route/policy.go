package route

// Candidate is an upstream with free capacity.
type Candidate struct {
	Upstream *Upstream
	// Capacity is the number of requests that the upstream may run at once now;
	// above Upstream.Running.
	Capacity int
}

// Policy chooses one of the candidates, of which there is at least one, and
// returns its index. turn grows by one with each choice in the pool.
type Policy interface {
	Choose(candidates []Candidate, turn uint64) int
}

// LeastLoaded chooses the candidate that uses the smallest fraction of its capacity.
// Among equally loaded candidates the choice rotates with turn, so that several entry
// processes do not all choose the same upstream first.
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

// RoundRobin is the baseline: it chooses the candidates one after the other,
// regardless of their load.
type RoundRobin struct{}

// Choose returns the index of the candidate whose turn it is.
func (RoundRobin) Choose(candidates []Candidate, turn uint64) int {
	return int(turn % uint64(len(candidates)))
}
