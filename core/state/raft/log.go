package raft

// entryOverhead is counted for each entry on top of its data when a message is
// bounded: index, term, kind and framing.
const entryOverhead = 32

// entryLog holds the entries that follow on a base. Slices that it hands out
// are never overwritten: truncate cuts the capacity, so that the next append
// copies.
type entryLog struct {
	// base and baseTerm are those of the entry before entries[0].
	base     uint64
	baseTerm uint64
	entries  []Entry
	// unsaved is the first index that no output has carried; at most last+1.
	unsaved uint64
	// stable is the last index that the caller has synced; below unsaved.
	stable uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an index; ok is false for an index that was
// compacted or does not exist.
func (l *entryLog) term(i uint64) (t uint64, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns the entries from and to, both included; from is above the
// base.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base-1 : to-l.base : to-l.base]
}

// bounded returns entries from an index on that hold at most the given bytes,
// and one entry even when it is larger.
func (l *entryLog) bounded(from uint64, bytes int) []Entry {
	size, to := 0, from-1
	for to < l.last() {
		size += len(l.entries[to-l.base].Data) + entryOverhead
		if size > bytes && to >= from {
			break
		}
		to++
	}
	return l.slice(from, to)
}

func (l *entryLog) add(es ...Entry) { l.entries = append(l.entries, es...) }

// truncate drops the entries from an index on.
func (l *entryLog) truncate(from uint64) {
	if from > l.last() {
		return
	}
	keep := from - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.unsaved = min(l.unsaved, from)
	l.stable = min(l.stable, from-1)
}

// compact moves the base up to an index and frees the entries before it.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// reset empties the log behind an installed snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, unsaved: index + 1, stable: index}
}

// upToDate reports whether a log that ends with the given entry holds every
// entry that this log may have committed.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// agree returns the largest index at or below the given one whose term is at
// most the given term. Two logs cannot agree above it, so that one exchange
// skips a whole term of conflicting entries.
func (l *entryLog) agree(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); ; i-- {
		t, ok := l.term(i)
		if !ok || t <= term || i == 0 {
			return i, t
		}
	}
}
