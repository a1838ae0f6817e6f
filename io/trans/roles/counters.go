package roles

import (
	"github.com/rcrowley/go-metrics"

	"camphorridge/io/trans/admin"
)

// counter is a counter that a part keeps by itself.
type counter struct {
	name  string
	value func() int64
}

// registerCounters registers registerCounters. Their names are constants of this package, so
// a clash is a programming error that the first scrape of a test shows.
func registerCounters(r metrics.Registry, all []counter) {
	for _, c := range all {
		if err := admin.RegisterCounter(r, c.name, c.value); err != nil {
			panic(err)
		}
	}
}
