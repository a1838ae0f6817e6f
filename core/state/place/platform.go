package place

import "fmt"

// Platform is what runs tasks. Each method returns an error only when the
// platform certainly did not do what was asked.
type Platform interface {
	// Start runs a task. The worker must refuse a start that reaches it after
	// the action's Until, since the task may run elsewhere by then.
	Start(Action) error
	Renew(Action) error
	Checkpoint(Action) error
	Throttle(Action) error
	Stop(Action) error
}

// Refusal is an action that the platform did not carry out.
type Refusal struct {
	Action Action
	Err    error
}

// Carry gives the actions to the platform in their order and returns those
// that it refused.
func Carry[P Platform](p P, actions []Action) []Refusal {
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
