package place

import (
	"slices"
)

// Fit is the policy that says in which order workers with room are tried.
type Fit interface {
	// Order returns the first bucket of free processors to try and the step to
	// the next one, between least and top. Step 0 tries all workers by name.
	Order(least, top int) (first, step int)
}

// BestFit tries the workers with least room first, so that large tasks find
// whole workers later on.
type BestFit struct{}

// Order goes from the least sufficient bucket up.
func (BestFit) Order(least, _ int) (first, step int) { return least, 1 }

// WorstFit tries the workers with most room first, so that a lost worker takes
// fewer tasks with it.
type WorstFit struct{}

// Order goes from the top bucket down.
func (WorstFit) Order(_, top int) (first, step int) { return top, -1 }

// FirstFit is the baseline: workers by name.
type FirstFit struct{}

// Order returns step 0.
func (FirstFit) Order(int, int) (first, step int) { return 0, 0 }

// room holds the workers by free processors, in buckets of one processor. Each
// bucket is sorted by name.
type room struct {
	buckets [][]WorkerID
	at      map[WorkerID]int
}

func bucketOf(milliCores int) int { return max(0, milliCores/1000) }

// set puts a worker into the bucket of its free processors.
func (r *room) set(id WorkerID, free Size) {
	to := bucketOf(free.MilliCores)
	if at, ok := r.at[id]; ok {
		if at == to {
			return
		}
		r.remove(id)
	}
	for len(r.buckets) <= to {
		r.buckets = append(r.buckets, nil)
	}
	pos, _ := slices.BinarySearch(r.buckets[to], id)
	r.buckets[to] = slices.Insert(r.buckets[to], pos, id)
	r.at[id] = to
}

func (r *room) remove(id WorkerID) {
	at, ok := r.at[id]
	if !ok {
		return
	}
	if pos, ok := slices.BinarySearch(r.buckets[at], id); ok {
		r.buckets[at] = slices.Delete(r.buckets[at], pos, pos+1)
	}
	delete(r.at, id)
}
