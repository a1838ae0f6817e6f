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

// reloadInterval separates two looks at the settings, which may also change
// without a signal.
const reloadInterval = 5 * clock.Second

// reloader is the duty that takes changed addresses of control processes into
// use: at SIGHUP, and when it finds the settings changed.
type reloader struct {
	// load reads the control processes from the settings.
	load func() ([]model.Member, error)
	// apply takes them into use; it must not wait.
	apply   func([]model.Member)
	applied []model.Member
	clock   clock.Clock
	log     *log.Logger
	done    chan struct{}
}

func newReloader(load func() ([]model.Member, error), first []model.Member, apply func([]model.Member), c clock.Clock, lg *log.Logger) *reloader {
	return &reloader{load: load, apply: apply, applied: first, clock: c, log: lg, done: make(chan struct{})}
}

// Run looks at the settings until Stop.
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

// Stop ends Run.
func (r *reloader) Stop() { close(r.done) }

// reload reads the settings; unusable ones change nothing.
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
