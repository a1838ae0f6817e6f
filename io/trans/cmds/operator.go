package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
	"camphorridge/io/proto/report"
	"camphorridge/io/trans/peers"
)

// commandTimeout is the timeout of one command. It is longer than an election, which
// takes a few seconds at most.
const commandTimeout = 15 * time.Second

// commandStamps is the hybrid logical clock of a command. It orders the command's
// changes after the state that the command has read.
type commandStamps struct {
	clock  clock.Clock
	hybrid trail.HybridClock
}

func (s *commandStamps) Next() model.Stamp { return s.hybrid.Next(s.clock.Now()) }

func (s *commandStamps) Observe(m model.Stamp) { s.hybrid.Observe(m, s.clock.Now()) }

// controlClient is the client of the control group for one command.
type controlClient struct {
	client *peers.Client
	leader *peers.LeaderClient
	clock  clock.Clock
	ctx    context.Context
	cancel context.CancelFunc
}

// newControlClient returns a client of the control processes that the operator has
// given. The context of the client ends after commandTimeout. The caller must call
// close.
func newControlClient(o *options) (*controlClient, error) {
	if o.control == "" {
		return nil, usageError("--control", errors.New("no address of a control process is given; want ip:port of the peers listeners, separated by commas, here or in CAMPHORRIDGE_CONTROL"))
	}
	var members []model.Member
	for _, a := range strings.Split(o.control, ",") {
		a = strings.TrimSpace(a)
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usageError("--control", fmt.Errorf("%q is not an address; want ip:port, separated by commas", a))
		}
		members = append(members, model.Member{Address: a})
	}
	clk := clock.Real()
	c := peers.NewClient("operator", &commandStamps{clock: clk})
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	return &controlClient{client: c, leader: peers.NewLeaderClient(c, members, clk), clock: clk, ctx: ctx, cancel: cancel}, nil
}

// close ends the client's context and closes its connections.
func (p *controlClient) close() {
	p.cancel()
	p.client.Close()
}

// withSystemView gets the leader's view of the system and calls f with it.
func withSystemView(o *options, f func(p *controlClient, v peers.SystemView) error) error {
	p, err := newControlClient(o)
	if err != nil {
		return err
	}
	defer p.close()
	v, err := p.leader.Status(p.ctx)
	if err != nil {
		return failedError("status", err)
	}
	return f(p, v)
}

func (o *options) format() report.Format {
	if o.json {
		return report.FormatJSON
	}
	return report.FormatText
}

func showStatus(o *options, out io.Writer) error {
	return withSystemView(o, func(_ *controlClient, v peers.SystemView) error {
		if err := report.WriteStatus(out, o.format(), v.Status); err != nil {
			return failedError("status", err)
		}
		if o.json {
			return nil
		}
		for _, w := range v.Waits {
			fmt.Fprintf(out, "waits: instance %s for %d ms: %s", w.Instance, v.Status.Now-w.Since, w.Reason)
			if len(w.Unconfirmed) > 0 {
				fmt.Fprintf(out, " (%s)", strings.Join(w.Unconfirmed, ", "))
			}
			fmt.Fprintln(out)
		}
		return nil
	})
}

func listInstances(o *options, out io.Writer) error {
	return withSystemView(o, func(_ *controlClient, v peers.SystemView) error {
		return report.Instances(out, o.format(), v.Status, model.Selector{})
	})
}

// collectEvents returns the events of all processes in causal order. It reports
// processes that don't answer, and those that have dropped events, on standard error.
func (p *controlClient) collectEvents(v peers.SystemView) []model.Event {
	var lists [][]model.Event
	for _, m := range append(append([]model.Member(nil), v.Controls...), v.Entries...) {
		ctx, cancel := context.WithTimeout(p.ctx, 2*time.Second)
		events, dropped, err := p.client.Events(ctx, m.Address)
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "camphorridge: cannot get the events of %s: %v\n", m.Name, err)
			continue
		}
		if dropped > 0 {
			fmt.Fprintf(os.Stderr, "camphorridge: %s dropped its oldest %d events\n", m.Name, dropped)
		}
		lists = append(lists, events)
	}
	return trail.Merge(lists...)
}

func showTimeline(o *options, out io.Writer) error {
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		events := p.collectEvents(v)
		if o.html == "" {
			return report.Timeline(out, o.format(), events)
		}
		f, err := os.Create(o.html)
		if err != nil {
			return failedError("timeline", err)
		}
		if err := report.Timeline(f, report.FormatHTML, events); err != nil {
			_ = f.Close()
			return failedError("timeline", err)
		}
		if err := f.Close(); err != nil {
			return failedError("timeline", err)
		}
		fmt.Fprintf(out, "%d events in %s\n", len(events), o.html)
		return nil
	})
}

func showMeasures(o *options, out io.Writer) error {
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		return report.Measures(out, o.format(), trail.Measure(currentState(v), p.collectEvents(v)))
	})
}

func explain(o *options, out io.Writer) error {
	if o.kind == "job" {
		return explainJob(o, out)
	}
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		current, events := currentState(v), p.collectEvents(v)
		var x trail.Explanation
		switch o.kind {
		case "customer":
			x = trail.ExplainCustomer(current, events, model.Customer(o.name))
		case "instance":
			x = trail.ExplainInstance(current, events, model.InstanceID(o.name))
		case "request":
			x = trail.ExplainRequest(current, events, o.name)
		default:
			return usageError("explain", fmt.Errorf("kind %q is unknown; want customer, instance, request or job", o.kind))
		}
		if err := report.Explain(out, o.format(), x); err != nil {
			return failedError("explain", err)
		}
		if !x.Found {
			return failedError("explain", errors.New("found no object or event of "+o.kind+" "+o.name))
		}
		return nil
	})
}

// currentState converts a system view to the current state that package trail needs to
// explain events.
func currentState(v peers.SystemView) trail.CurrentState {
	x := trail.CurrentState{
		Now:         v.Status.Now,
		Contracts:   map[model.Customer]model.Contract{},
		Instances:   map[model.InstanceID]model.Instance{},
		Maintenance: map[string]model.Maintenance{},
	}
	for _, c := range v.Status.Contracts {
		x.Contracts[c.Customer] = c
	}
	for _, i := range v.Status.Instances {
		x.Instances[i.ID] = i
	}
	for _, m := range v.Status.Maintenance {
		x.Maintenance[m.Name] = m
	}
	seen := map[model.Process]report.ProcessStatus{}
	for _, s := range v.Status.Processes {
		seen[s.Name] = s
	}
	for _, m := range v.Entries {
		s := seen[m.Name]
		x.Processes = append(x.Processes, trail.ProcessState{
			Name: m.Name, Zone: m.Zone, Version: s.Version, DrainedVersion: s.DrainedVersion, LastReport: s.LastReportAt,
		})
	}
	return x
}
