package raft

// entryOverheadBytes is the size that each entry adds to a message beyond its
// data: index, term, kind and framing.
const entryOverheadBytes = 32

// entryLog holds the log entries after a base index. The slices that it returns
// are never overwritten: truncate reduces the capacity, so that the next append
// copies the entries.
type entryLog struct {
	// base and baseTerm are the index and the term of the entry before
	// entries[0].
	base     uint64
	baseTerm uint64
	entries  []Entry
	// nextOutput is the index of the first entry that no Output has contained;
	// last+1 if there is none.
	nextOutput uint64
	// lastDurable is the index of the last entry that is durable, as confirmed by
	// ConfirmDurable; below nextOutput.
	lastDurable uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i, which may be the base. ok is false
// if the entry is before the base or does not exist.
func (l *entryLog) term(i uint64) (t uint64, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns the entries whose index is at least from and at most to. from
// must be above the base.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base-1 : to-l.base : to-l.base]
}

// sliceMaxBytes returns the entries that start at index from and have a total
// size of at most maxBytes. It returns the first of them even if that one alone
// is larger.
func (l *entryLog) sliceMaxBytes(from uint64, maxBytes int) []Entry {
	size, to := 0, from-1
	for to < l.last() {
		size += entryBytes(l.entries[to-l.base])
		if size > maxBytes && to >= from {
			break
		}
		to++
	}
	return l.slice(from, to)
}

// entryBytes returns the size of an entry in a message.
func entryBytes(e Entry) int { return len(e.Data) + entryOverheadBytes }

// Bytes returns about the size of a message when it is sent.
func (m *Message) Bytes() int {
	size := len(m.Chunk) + entryOverheadBytes
	for _, e := range m.Entries {
		size += entryBytes(e)
	}
	return size
}

// before returns the index before the entries up to index of which there are at most
// the given number and that have at most the given size together.
func (l *entryLog) before(index, entries uint64, bytes int) uint64 {
	from := index
	for ; from > l.base && index-from < entries; from-- {
		if bytes -= entryBytes(l.entries[from-l.base-1]); bytes < 0 {
			break
		}
	}
	return from
}

func (l *entryLog) add(es ...Entry) { l.entries = append(l.entries, es...) }

// truncate removes the entries with an index of from or higher.
func (l *entryLog) truncate(from uint64) {
	if from > l.last() {
		return
	}
	keep := from - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.nextOutput = min(l.nextOutput, from)
	l.lastDurable = min(l.lastDurable, from-1)
}

// compact moves the base up to index and frees the entries up to it.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base = index
}

// reset empties the log and sets its base to the last entry of an installed
// snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, nextOutput: index + 1, lastDurable: index}
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this log. A candidate whose log is at least as up
// to date as those of a quorum has every committed entry.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// findConflictByTerm returns the largest index at or below index whose entry has at
// most the given term, and the term of that entry. If it reaches an index before the
// base, it returns that index and 0. If the entry at index of another log has at
// most the given term, the two logs differ at every index above the returned one up
// to index, because terms never decrease within a log. One exchange of messages
// therefore skips all conflicting entries of a term.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); ; i-- {
		t, ok := l.term(i)
		if !ok || t <= term || i == 0 {
			return i, t
		}
	}
}
