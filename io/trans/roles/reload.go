package roles

import (
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/charmbracelet/log"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// reloadInterval is the interval at which the settings are read even without a
// signal, because not every change of the settings is followed by one.
const reloadInterval = 5 * clock.Second

// reloader is the component that applies changes of the list of control processes
// in the settings. It reads the settings on SIGHUP and every reloadInterval.
type reloader struct {
	// load reads the control processes from the settings. If it is nil, nothing is
	// ever reloaded.
	load func() ([]model.Member, error)
	// apply makes the process use a changed list of control processes; it must not
	// block.
	apply func([]model.Member)
	// applied holds the control processes that are in use.
	applied []model.Member
	clock   clock.Clock
	log     *log.Logger
	done    chan struct{}
}

func newReloader(load func() ([]model.Member, error), initial []model.Member, apply func([]model.Member), c clock.Clock, lg *log.Logger) *reloader {
	return &reloader{load: load, apply: apply, applied: initial, clock: c, log: lg, done: make(chan struct{})}
}

// Run reloads the settings until Stop is called.
func (r *reloader) Run() error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-hangup:
			r.reload("signal")
		case <-r.clock.After(reloadInterval):
			r.reload("change")
		case <-r.done:
			return nil
		}
	}
}

// Stop ends Run. It must be called at most once.
func (r *reloader) Stop() { close(r.done) }

// reload reads the settings and applies them if they have changed. Invalid settings
// are logged and change nothing. why is written to the log.
func (r *reloader) reload(why string) {
	if r.load == nil {
		return
	}
	all, err := r.load()
	if err != nil {
		r.log.Warn("settings-refused", "why", why, "err", err)
		return
	}
	if slices.Equal(all, r.applied) {
		return
	}
	r.applied = all
	r.apply(all)
	r.log.Info("settings-reloaded", "why", why, "controls", len(all))
}
