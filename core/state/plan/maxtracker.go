package plan

// maxTracker keeps a number for each name and finds the highest one. The numbers
// are counts of instances and therefore small, so that one bucket for each
// possible number is cheap.
type maxTracker struct {
	values map[string]int
	// namesByValue[n] holds the names with the number n. Names with the number 0
	// are not kept.
	namesByValue []map[string]bool
}

// add adds n to the number of a name.
func (t *maxTracker) add(name string, n int) {
	if n == 0 {
		return
	}
	if t.values == nil {
		t.values = map[string]int{}
	}
	old := t.values[name]
	if old > 0 {
		delete(t.namesByValue[old], name)
	}
	t.values[name] = old + n
	if old+n <= 0 {
		return
	}
	for len(t.namesByValue) <= old+n {
		t.namesByValue = append(t.namesByValue, map[string]bool{})
	}
	t.namesByValue[old+n][name] = true
}

// max returns the highest number and the alphabetically first of its names.
func (t *maxTracker) max() (n int, name string) {
	for n = len(t.namesByValue) - 1; n > 0; n-- {
		for s := range t.namesByValue[n] {
			if name == "" || s < name {
				name = s
			}
		}
		if name != "" {
			return n, name
		}
	}
	return 0, ""
}
