package place

import "fmt"

// Platform runs tasks on workers. A method returns an error only when it is
// certain that the platform did not carry out the action.
type Platform interface {
	// Start runs a task. A worker must refuse a start that arrives after the
	// action's LeaseEnd, because the task may run on another worker by then.
	Start(Action) error
	// Renew extends the worker's lease to the action's LeaseEnd.
	Renew(Action) error
	// Checkpoint orders a task to save its work and end.
	Checkpoint(Action) error
	// Throttle limits a task to CPUPercent of its reserved processors.
	Throttle(Action) error
	// Stop orders a task to end; unsaved work is lost.
	Stop(Action) error
}

// Refusal is an action that the platform did not carry out, with the error that
// it returned.
type Refusal struct {
	Action Action
	Err    error
}

// Execute passes the actions to the platform in order and returns those that it
// refused. The errors are of type *Error and KindPlatform.
func Execute[P Platform](p P, actions []Action) []Refusal {
	var out []Refusal
	for _, a := range actions {
		var err error
		switch a.Kind {
		case ActionStart:
			err = p.Start(a)
		case ActionRenew:
			err = p.Renew(a)
		case ActionCheckpoint:
			err = p.Checkpoint(a)
		case ActionThrottle:
			err = p.Throttle(a)
		case ActionStop:
			err = p.Stop(a)
		}
		if err != nil {
			op := fmt.Sprintf("%s %s on %s", a.Kind, a.Task, a.Worker)
			out = append(out, Refusal{Action: a, Err: &Error{Op: op, Kind: KindPlatform, Err: err}})
		}
	}
	return out
}
