package place

import "slices"

// FitPolicy determines the order in which workers with free capacity are tried.
type FitPolicy interface {
	// Order returns the first bucket of the free-capacity index to try and the
	// step from one bucket to the next. Only buckets from least, the smallest
	// that may hold enough, to top, the last of the index, are tried. Step 0
	// means that all workers are tried in the order of their names.
	Order(least, top int) (first, step int)
}

// BestFit tries the workers with the least free capacity first, which keeps
// whole workers free for large tasks.
type BestFit struct{}

// Order starts at the bucket least and goes up.
func (BestFit) Order(least, _ int) (first, step int) { return least, 1 }

// WorstFit tries the workers with the most free capacity first, so that the
// loss of a worker affects fewer tasks.
type WorstFit struct{}

// Order starts at the top bucket and goes down.
func (WorstFit) Order(_, top int) (first, step int) { return top, -1 }

// FirstFit is the baseline: it tries the workers in the order of their names.
type FirstFit struct{}

// Order returns step 0.
func (FirstFit) Order(int, int) (first, step int) { return 0, 0 }

// capacityIndex orders workers by free processors, in buckets of one processor.
// Each bucket is sorted by worker name.
type capacityIndex struct {
	buckets        [][]WorkerID
	bucketByWorker map[WorkerID]int
}

// bucketOf returns the bucket for an amount of free processors.
func bucketOf(milliCores int) int { return max(0, milliCores/1000) }

// set moves a worker to the bucket of its free processors and adds it if it is
// not in the index.
func (x *capacityIndex) set(id WorkerID, free Size) {
	to := bucketOf(free.MilliCores)
	if at, ok := x.bucketByWorker[id]; ok {
		if at == to {
			return
		}
		x.remove(id)
	}
	for len(x.buckets) <= to {
		x.buckets = append(x.buckets, nil)
	}
	pos, _ := slices.BinarySearch(x.buckets[to], id)
	x.buckets[to] = slices.Insert(x.buckets[to], pos, id)
	x.bucketByWorker[id] = to
}

// remove removes a worker from the index.
func (x *capacityIndex) remove(id WorkerID) {
	at, ok := x.bucketByWorker[id]
	if !ok {
		return
	}
	if pos, ok := slices.BinarySearch(x.buckets[at], id); ok {
		x.buckets[at] = slices.Delete(x.buckets[at], pos, pos+1)
	}
	delete(x.bucketByWorker, id)
}
