package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
)

// Version is the version of the program. Releases set it with a linker flag.
var Version = "development"

// The exit statuses for errors of KindFailed and KindUsage.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Kind classifies the errors of the package.
type Kind int

// The kinds of error.
const (
	// KindUsage means that the command line, a setting or a file is invalid;
	// nothing was done.
	KindUsage Kind = iota
	// KindFailed means that the operation failed.
	KindFailed
)

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usageError(op string, err error) error { return &Error{Op: op, Kind: KindUsage, Err: err} }

func failedError(op string, err error) error { return &Error{Op: op, Kind: KindFailed, Err: err} }

// options holds the values of all flags and positional arguments. The subcommand
// determines which of them are set.
type options struct {
	settings string
	control  string
	json     bool
	file     string
	name     string
	kind     string
	html     string
	request  string
	author   string
	// base is the base version of a change, or -1 if none is given.
	base     int
	pool     string
	zone     string
	rack     string
	instance string
	deadline string
	queue    string
}

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(o *options, out io.Writer) error
}

// Main runs the subcommand named in args and returns the exit status of the
// program. It writes errors to errOut.
func Main(args []string, out, errOut io.Writer) int {
	o := &options{control: os.Getenv("CAMPHORRIDGE_CONTROL"), author: os.Getenv("USER"), base: -1}
	p := flaggy.NewParser("camphorridge")
	p.Description = "fleet capacity and maintenance manager"
	p.DisableShowVersionWithVersion()
	p.ShowHelpOnUnexpected = true
	all := addSubcommands(p, o)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "camphorridge:", err)
		return ExitUsage
	}
	for _, c := range all {
		if !c.sub.Used {
			continue
		}
		return exitStatus(c.run(o, out), errOut)
	}
	fmt.Fprintln(errOut, "camphorridge: name a subcommand; --help lists them")
	return ExitUsage
}

// exitStatus prints an error and returns its exit status, or 0 if err is nil.
func exitStatus(err error, errOut io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, "camphorridge:", err)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindUsage {
		return ExitUsage
	}
	return ExitFailed
}

// addSubcommands adds all subcommands to the parser and returns those that can be
// run. Groups of subcommands can't be run themselves.
func addSubcommands(p *flaggy.Parser, o *options) []command {
	var all []command
	add := func(parent *flaggy.Subcommand, name, description string, run func(*options, io.Writer) error) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = description
		if parent == nil {
			p.AttachSubcommand(s, 1)
		} else {
			parent.AttachSubcommand(s, 1)
		}
		if run != nil {
			all = append(all, command{sub: s, run: run})
		}
		return s
	}
	attachRoles(add, o)
	attachContract(add, o)
	attachMaintenance(add, o)
	attachFleet(add, o)
	attachJobs(add, o)
	attachReports(add, o)
	return all
}

// addFunc adds a subcommand to parent, or to the program if parent is nil. run is nil
// for a group of subcommands.
type addFunc func(parent *flaggy.Subcommand, name, description string, run func(*options, io.Writer) error) *flaggy.Subcommand

func attachRoles(add addFunc, o *options) {
	for _, s := range []*flaggy.Subcommand{
		add(nil, "entry", "run an entry process", runEntry),
		add(nil, "control", "run a control process", runControl),
	} {
		s.String(&o.settings, "s", "settings", "settings file")
	}
	check := add(nil, "check", "check a file without starting anything", runCheck)
	check.AddPositionalValue(&o.kind, "kind", 1, true, "entry, control, contract or job")
	check.AddPositionalValue(&o.file, "file", 2, true, "file to check")
	add(nil, "version", "print the version", func(_ *options, out io.Writer) error {
		fmt.Fprintln(out, "camphorridge", Version)
		return nil
	})
}

func attachContract(add addFunc, o *options) {
	group := add(nil, "contract", "apply, show, list or remove contracts", nil)
	apply := add(group, "apply", "apply the contract in a file", applyContract)
	apply.AddPositionalValue(&o.file, "file", 1, true, "contract file")
	show := add(group, "show", "show one contract", showContract)
	show.AddPositionalValue(&o.name, "customer", 1, true, "customer of the contract")
	list := add(group, "list", "list all contracts", listContracts)
	remove := add(group, "remove", "remove a contract", removeContract)
	remove.AddPositionalValue(&o.name, "customer", 1, true, "customer of the contract")
	addOperatorFlags(o, apply, show, list, remove)
	addChangeFlags(o, apply, remove)
}

func attachMaintenance(add addFunc, o *options) {
	group := add(nil, "maintenance", "declare, list or cancel maintenance", nil)
	declare := add(group, "declare", "declare that instances must be maintained by a deadline", declareMaintenance)
	declare.AddPositionalValue(&o.name, "name", 1, true, "name of the declaration")
	declare.String(&o.pool, "", "pool", "instances of this pool")
	declare.String(&o.zone, "", "zone", "instances of this availability zone")
	declare.String(&o.rack, "", "rack", "instances of this rack")
	declare.String(&o.instance, "", "instance", "this instance")
	declare.String(&o.deadline, "", "deadline", "duration from now, such as 36h, or time in RFC 3339 format")
	list := add(group, "list", "list the declarations", listMaintenance)
	cancel := add(group, "cancel", "cancel a declaration", cancelMaintenance)
	cancel.AddPositionalValue(&o.name, "name", 1, true, "name of the declaration")
	addOperatorFlags(o, declare, list, cancel)
	addChangeFlags(o, declare, cancel)
}

func attachFleet(add addFunc, o *options) {
	retire := add(nil, "retire", "remove an instance from the fleet permanently", retireInstance)
	retire.AddPositionalValue(&o.name, "instance", 1, true, "name of the instance")
	gone := add(nil, "gone", "declare that an entry process has ended permanently, so that nothing waits for it", declareGone)
	gone.AddPositionalValue(&o.name, "process", 1, true, "name of the entry process")
	addOperatorFlags(o, retire, gone)
	addChangeFlags(o, retire, gone)
}

func attachJobs(add addFunc, o *options) {
	group := add(nil, "job", "submit, show, list or cancel jobs, or list the customers that submit them", nil)
	submit := add(group, "submit", "submit the job in a file; submitting it again is harmless", submitJob)
	submit.AddPositionalValue(&o.file, "file", 1, true, "job file")
	get := add(group, "get", "show the state of a job", getJob)
	cancel := add(group, "cancel", "cancel a job", cancelJob)
	for _, s := range []*flaggy.Subcommand{get, cancel} {
		s.AddPositionalValue(&o.name, "id", 1, true, "ID of the job")
	}
	list := add(group, "list", "list the jobs that have not ended, the oldest first", listJobs)
	list.String(&o.queue, "", "queue", "only the jobs of this queue")
	customers := add(group, "customers", "list the customers whose keys submit jobs, with what they hold and wait for", listJobCustomers)
	addOperatorFlags(o, submit, get, cancel, list, customers)
}

func attachReports(add addFunc, o *options) {
	status := add(nil, "status", "show which version of the table each entry process uses, and what the control group waits for", showStatus)
	measures := add(nil, "measures", "show roll-out times, moves and idle instances", showMeasures)
	instances := add(nil, "instances", "list the instances", listInstances)
	explain := add(nil, "explain", "say what happened to a customer, an instance, a request or a job, and why", explain)
	explain.AddPositionalValue(&o.kind, "kind", 1, true, "customer, instance, request or job")
	explain.AddPositionalValue(&o.name, "name", 2, true, "name of the customer or instance, or ID of the request or job")
	timeline := add(nil, "timeline", "show the events of all processes in causal order", showTimeline)
	timeline.String(&o.html, "", "html", "write the timeline as an HTML page to this file")
	addOperatorFlags(o, status, measures, instances, explain, timeline)
}

func addOperatorFlags(o *options, all ...*flaggy.Subcommand) {
	for _, s := range all {
		s.String(&o.control, "c", "control", "addresses of the peers listeners of control processes, separated by commas; default is CAMPHORRIDGE_CONTROL")
		s.Bool(&o.json, "j", "json", "print JSON")
	}
}

func addChangeFlags(o *options, all ...*flaggy.Subcommand) {
	for _, s := range all {
		s.String(&o.request, "", "request", "request ID of the change; give it to resend a change whose response was lost")
		s.String(&o.author, "", "author", "who makes the change; default is USER")
		s.Int(&o.base, "", "base", "version that the change is based on; default is the current version")
	}
}
