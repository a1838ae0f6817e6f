package plan

// tower keeps a number for each name and finds the highest one. The numbers
// are counts of instances, so that a bucket for each number is cheap.
type tower struct {
	height map[string]int
	// level holds the names by their number; level 0 is not kept.
	level []map[string]bool
}

// add changes the number of a name by n.
func (t *tower) add(name string, n int) {
	if n == 0 {
		return
	}
	if t.height == nil {
		t.height = map[string]int{}
	}
	old := t.height[name]
	if old > 0 {
		delete(t.level[old], name)
	}
	t.height[name] = old + n
	if old+n <= 0 {
		return
	}
	for len(t.level) <= old+n {
		t.level = append(t.level, map[string]bool{})
	}
	t.level[old+n][name] = true
}

// highest returns the highest number and the first of its names.
func (t *tower) highest() (n int, name string) {
	for n = len(t.level) - 1; n > 0; n-- {
		for s := range t.level[n] {
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
