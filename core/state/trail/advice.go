package trail

import "camphorridge/core/state/model"

// Action is an action that an operator can take to remove an obstacle.
type Action string

// The actions.
const (
	ActionRaiseLimit     Action = "raise-limit"
	ActionApplyContract  Action = "apply-contract"
	ActionAddPool        Action = "add-pool-to-contract"
	ActionAllowMoreTime  Action = "allow-more-time"
	ActionAddInstances   Action = "add-instances"
	ActionStartUpstream  Action = "start-upstream"
	ActionRepairUpstream Action = "repair-upstream"
	ActionRestartProcess Action = "restart-process-or-declare-lost"
	ActionCheckPlatform  Action = "check-platform"
	ActionWait           Action = "wait"
	ActionInspect        Action = "inspect"
)

// Advice recommends an action. Target is the name of the limit, pool, process or
// instance, or of another object, that the action applies to. In the advice on a
// limit, Target may be only the kind of that object, such as "pool" or "instance".
type Advice struct {
	Action Action
	Target string
}

// adviceByLimit maps the limit names in events to the advice on the limit. The
// three groups are settings of a contract, reasons for refused requests, and limits
// of the system itself.
var adviceByLimit = map[string]Advice{
	"concurrency":     {ActionRaiseLimit, "concurrency"},
	"queue":           {ActionRaiseLimit, "queue"},
	"retries":         {ActionRaiseLimit, "retry-percent"},
	"retry-percent":   {ActionRaiseLimit, "retry-percent"},
	"max-unavailable": {ActionRaiseLimit, "max-unavailable"},
	"budget-ms":       {ActionRaiseLimit, "budget-ms"},
	"spare":           {ActionRaiseLimit, "spare"},
	"milli-cores":     {ActionRaiseLimit, "milli-cores"},
	"memory-mib":      {ActionRaiseLimit, "memory-mib"},
	"accelerators":    {ActionRaiseLimit, "accelerators"},

	"no contract":            {ActionApplyContract, "contract"},
	"pool not in contract":   {ActionAddPool, "contract"},
	"no share":               {ActionRaiseLimit, "concurrency"},
	"queue full":             {ActionRaiseLimit, "queue"},
	"deadline cannot be met": {ActionAllowMoreTime, "timeout"},
	"retry budget spent":     {ActionRaiseLimit, "retry-percent"},

	"deadline": {ActionAllowMoreTime, "timeout"},
	"capacity": {ActionAddInstances, "pool"},
	"lease":    {ActionStartUpstream, "instance"},
	"failures": {ActionRepairUpstream, "instance"},
	"drained":  {ActionRestartProcess, "process"},
}

// adviceFor returns the advice for a limit. For a limit that is not in
// adviceByLimit, the advice is to inspect the limit.
func adviceFor(limit string) Advice {
	if a, ok := adviceByLimit[limit]; ok {
		return a
	}
	return Advice{ActionInspect, limit}
}

// releaseAdvice returns the advice for a process that has not confirmed a
// release: to wait for its requests in flight or, if the process has never reported
// or has stopped reporting, to restart it.
func releaseAdvice(state CurrentState, p ProcessState) Advice {
	if p.LastReport == 0 || state.Now-p.LastReport > SilentAfter {
		return Advice{ActionRestartProcess, string(p.Name)}
	}
	return Advice{ActionWait, string(p.Name)}
}

// instanceAdvice returns the advice to apply an action to an instance.
func instanceAdvice(a Action, id model.InstanceID) Advice { return Advice{a, string(id)} }
