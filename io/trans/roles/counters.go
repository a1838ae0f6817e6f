package roles

import (
	"github.com/rcrowley/go-metrics"

	"camphorridge/io/trans/admin"
)

// counter is a counter that a part keeps by itself.
type counter struct {
	name string
	read func() int64
}

// counters registers counters. Their names are constants of this package, so
// a clash is a programming error that the first scrape of a test shows.
func counters(r metrics.Registry, all []counter) {
	for _, c := range all {
		if err := admin.RegisterCounter(r, c.name, c.read); err != nil {
			panic(err)
		}
	}
}
