package cmds

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/conf"
	"camphorridge/io/proto/report"
	"camphorridge/io/trans/peers"
)

// propose sets the author and the request ID of a change, proposes it and prints the
// result. The request ID is random unless the operator has given one.
func propose(o *options, p *controlClient, out io.Writer, c model.Change) error {
	c.Author = o.author
	if c.Author == "" {
		c.Author = "operator"
	}
	c.Request = model.RequestID(o.request)
	if c.Request == "" {
		c.Request = model.RequestID(rand.Text())
	}
	r, err := p.leader.Propose(p.ctx, c)
	if err != nil {
		return failedError("change", fmt.Errorf("it may or may not have been accepted; resend it with --request %s --base %d: %w", c.Request, c.Base, err))
	}
	switch r.Kind {
	case model.ResultConflict:
		return failedError("change", fmt.Errorf("conflict: %s, changed by %s at version %d; differs in: %s",
			r.Reason, r.Winner, r.Version, strings.Join(r.DifferingFields, ", ")))
	case model.ResultInvalid:
		return failedError("change", errors.New("refused: "+r.Reason))
	}
	fmt.Fprintf(out, "accepted at version %d\n", r.Version)
	if r.Reason != "" {
		fmt.Fprintln(out, r.Reason)
	}
	return nil
}

// baseVersion returns the base version that the operator has given, or otherwise the
// current version.
func (o *options) baseVersion(current model.Version) model.Version {
	if o.base >= 0 {
		return model.Version(o.base)
	}
	return current
}

func applyContract(o *options, out io.Writer) error {
	c, err := loadFile(o.file, conf.LoadContract)
	if err != nil {
		return err
	}
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		base := o.baseVersion(contractVersion(v, c.Customer))
		return propose(o, p, out, model.Change{Kind: model.ChangeContractApply, Base: base, Contract: c})
	})
}

// contractVersion returns the current version of a customer's contract, or 0 if there
// is none.
func contractVersion(v peers.SystemView, name model.Customer) model.Version {
	for _, c := range v.Status.Contracts {
		if c.Customer == name {
			return c.Version
		}
	}
	return 0
}

func showContract(o *options, out io.Writer) error {
	return withSystemView(o, func(_ *controlClient, v peers.SystemView) error {
		if err := report.Contract(out, o.format(), v.Status, model.Customer(o.name)); err != nil {
			return failedError("contract", err)
		}
		return nil
	})
}

func listContracts(o *options, out io.Writer) error {
	return withSystemView(o, func(_ *controlClient, v peers.SystemView) error {
		return report.Contracts(out, o.format(), v.Status)
	})
}

func removeContract(o *options, out io.Writer) error {
	name := model.Customer(o.name)
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		base := o.baseVersion(contractVersion(v, name))
		return propose(o, p, out, model.Change{Kind: model.ChangeContractRemove, Base: base, Customer: name})
	})
}

// maintenanceVersion returns the current version of a declaration, or 0 if there is
// none.
func maintenanceVersion(v peers.SystemView, name string) model.Version {
	for _, m := range v.Status.Maintenance {
		if m.Name == name {
			return m.Version
		}
	}
	return 0
}

func declareMaintenance(o *options, out io.Writer) error {
	deadline, err := parseDeadline(o.deadline, clock.Real().Now())
	if err != nil {
		return usageError("--deadline", err)
	}
	m := model.Maintenance{
		Name: o.name, Deadline: deadline,
		Selector: model.Selector{
			Pool: model.Pool(o.pool), Zone: model.Zone(o.zone),
			Rack: model.Rack(o.rack), Instance: model.InstanceID(o.instance),
		},
	}
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		base := o.baseVersion(maintenanceVersion(v, m.Name))
		return propose(o, p, out, model.Change{Kind: model.ChangeMaintenanceDeclare, Base: base, Maintenance: m})
	})
}

// parseDeadline parses a duration from now or a time in RFC 3339 format. The deadline
// must be after now.
func parseDeadline(s string, now clock.Millis) (clock.Millis, error) {
	if d, err := time.ParseDuration(s); err == nil {
		if d <= 0 {
			return 0, fmt.Errorf("%q is not in the future; want a duration above 0", s)
		}
		return now + clock.FromDuration(d), nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a deadline; want a duration such as 36h or a time such as 2027-01-31T06:00:00Z", s)
	}
	at := clock.Millis(t.UnixMilli())
	if at <= now {
		return 0, fmt.Errorf("%q is not in the future; want a later time", s)
	}
	return at, nil
}

func listMaintenance(o *options, out io.Writer) error {
	return withSystemView(o, func(_ *controlClient, v peers.SystemView) error {
		return report.Maintenance(out, o.format(), v.Status)
	})
}

func cancelMaintenance(o *options, out io.Writer) error {
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		base := o.baseVersion(maintenanceVersion(v, o.name))
		m := model.Maintenance{Name: o.name}
		return propose(o, p, out, model.Change{Kind: model.ChangeMaintenanceCancel, Base: base, Maintenance: m})
	})
}

// retireInstance starts to release an instance from its pool, with the target
// model.PoolNone, and does not wait for the end of the release. The release ends when
// every entry process of the zone has confirmed it; the instance is then removed from
// the fleet permanently. A spare instance replaces it in the pool.
func retireInstance(o *options, out io.Writer) error {
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		for _, i := range v.Status.Instances {
			if i.ID != model.InstanceID(o.name) {
				continue
			}
			next := i
			next.Phase, next.Target, next.Reason = model.PhaseReleasing, model.PoolNone, "retired by "+o.author
			step := model.InstanceStep{Base: o.baseVersion(i.Version), Instance: next}
			return propose(o, p, out, model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{step}})
		}
		return failedError("retire", fmt.Errorf("instance %s is not in the fleet", o.name))
	})
}

// declareGone tells the control group that every incarnation so far of an entry
// process has ended. Only the operator can know this: a process that doesn't report
// may still serve a zone that is cut off from the control group.
func declareGone(o *options, out io.Writer) error {
	return withSystemView(o, func(p *controlClient, v peers.SystemView) error {
		for _, m := range v.Entries {
			if m.Name == model.Process(o.name) {
				return propose(o, p, out, model.Change{Kind: model.ChangeProcessGone, Process: m.Name})
			}
		}
		return failedError("gone", fmt.Errorf("entry process %s is not in the settings of the control processes", o.name))
	})
}
