package codec

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// ContractToWire converts a customer's contract to its message.
func ContractToWire(c model.Contract) *wirepb.Contract {
	return &wirepb.Contract{
		Customer:       validUTF8(c.Customer),
		Version:        uint64(c.Version),
		Covers:         int32(c.Covers),
		Pools:          mapAll(c.Pools, poolShareToWire),
		Concurrency:    int64(c.Concurrency),
		Queue:          int64(c.Queue),
		RetryPercent:   int64(c.RetryPercent),
		MaxUnavailable: int64(c.MaxUnavailable),
		BudgetMs:       int64(c.BudgetMillis),
		WindowMs:       int64(c.WindowMillis),
		Spare:          int64(c.Spare),
		SparePool:      validUTF8(c.SparePool),
		MilliCores:     int64(c.Quota.MilliCores),
		MemoryMib:      int64(c.Quota.MemoryMiB),
		Accelerators:   int64(c.Quota.Accelerators),
	}
}

// ContractFromWire converts a message to a contract. It returns an error if the
// customer or the name of a pool is empty, or if the failure domain that the
// contract covers is not defined.
func ContractFromWire(w *wirepb.Contract) (model.Contract, error) {
	const op = "contract"
	if err := required(op, "customer", w.GetCustomer()); err != nil {
		return model.Contract{}, err
	}
	covers, err := enumFromWire(op, "covers", w.GetCovers(), model.DomainZone)
	if err != nil {
		return model.Contract{}, err
	}
	pools, err := tryMapAll(w.GetPools(), poolShareFromWire)
	if err != nil {
		return model.Contract{}, err
	}
	return model.Contract{
		Customer:       model.Customer(w.GetCustomer()),
		Version:        model.Version(w.GetVersion()),
		Covers:         covers,
		Pools:          pools,
		Concurrency:    int(w.GetConcurrency()),
		Queue:          int(w.GetQueue()),
		RetryPercent:   int(w.GetRetryPercent()),
		MaxUnavailable: int(w.GetMaxUnavailable()),
		BudgetMillis:   clock.Millis(w.GetBudgetMs()),
		WindowMillis:   clock.Millis(w.GetWindowMs()),
		Spare:          int(w.GetSpare()),
		SparePool:      model.Pool(w.GetSparePool()),
		Quota: model.Quota{
			MilliCores:   int(w.GetMilliCores()),
			MemoryMiB:    int(w.GetMemoryMib()),
			Accelerators: int(w.GetAccelerators()),
		},
	}, nil
}

func poolShareToWire(p model.PoolShare) *wirepb.PoolShare {
	return &wirepb.PoolShare{Pool: validUTF8(p.Pool), Instances: int64(p.Instances)}
}

func poolShareFromWire(w *wirepb.PoolShare) (model.PoolShare, error) {
	if err := required("pool share", "pool", w.GetPool()); err != nil {
		return model.PoolShare{}, err
	}
	return model.PoolShare{Pool: model.Pool(w.GetPool()), Instances: int(w.GetInstances())}, nil
}

// InstanceToWire converts an instance to its message.
func InstanceToWire(i model.Instance) *wirepb.Instance {
	return &wirepb.Instance{
		Id:           validUTF8(i.ID),
		Zone:         validUTF8(i.Zone),
		Rack:         validUTF8(i.Rack),
		Pool:         validUTF8(i.Pool),
		Target:       validUTF8(i.Target),
		Phase:        int32(i.Phase),
		Slots:        int64(i.Slots),
		Connections:  int64(i.Connections),
		Reason:       validUTF8(i.Reason),
		MaintainedMs: int64(i.MaintainedAt),
		Incarnation:  i.Incarnation,
		LostMs:       int64(i.LostSince),
		OutMs:        int64(i.OutOfServiceSince),
		SinceMs:      int64(i.PhaseSince),
		Version:      uint64(i.Version),
	}
}

// InstanceFromWire converts a message to an instance. It returns an error if the
// id, the zone or the pool is empty, or if the phase is not defined.
func InstanceFromWire(w *wirepb.Instance) (model.Instance, error) {
	const op = "instance"
	if err := required(op, "id", w.GetId(), "zone", w.GetZone(), "pool", w.GetPool()); err != nil {
		return model.Instance{}, err
	}
	phase, err := enumFromWire(op, "phase", w.GetPhase(), model.PhaseRetired)
	if err != nil {
		return model.Instance{}, err
	}
	return model.Instance{
		ID:                model.InstanceID(w.GetId()),
		Zone:              model.Zone(w.GetZone()),
		Rack:              model.Rack(w.GetRack()),
		Pool:              model.Pool(w.GetPool()),
		Target:            model.Pool(w.GetTarget()),
		Phase:             phase,
		Slots:             int(w.GetSlots()),
		Connections:       int(w.GetConnections()),
		Reason:            w.GetReason(),
		MaintainedAt:      clock.Millis(w.GetMaintainedMs()),
		Incarnation:       w.GetIncarnation(),
		LostSince:         clock.Millis(w.GetLostMs()),
		OutOfServiceSince: clock.Millis(w.GetOutMs()),
		PhaseSince:        clock.Millis(w.GetSinceMs()),
		Version:           model.Version(w.GetVersion()),
	}, nil
}

// SelectorToWire converts a selector of instances to its message.
func SelectorToWire(s model.Selector) *wirepb.Selector {
	return &wirepb.Selector{
		Pool:     validUTF8(s.Pool),
		Zone:     validUTF8(s.Zone),
		Rack:     validUTF8(s.Rack),
		Instance: validUTF8(s.Instance),
	}
}

// SelectorFromWire converts a message to a selector of instances. Every field may
// be empty.
func SelectorFromWire(w *wirepb.Selector) model.Selector {
	return model.Selector{
		Pool:     model.Pool(w.GetPool()),
		Zone:     model.Zone(w.GetZone()),
		Rack:     model.Rack(w.GetRack()),
		Instance: model.InstanceID(w.GetInstance()),
	}
}

// MaintenanceToWire converts a declared maintenance to its message.
func MaintenanceToWire(m model.Maintenance) *wirepb.Maintenance {
	return &wirepb.Maintenance{
		Name:       validUTF8(m.Name),
		Selector:   SelectorToWire(m.Selector),
		DeclaredMs: int64(m.DeclaredAt),
		DeadlineMs: int64(m.Deadline),
		Version:    uint64(m.Version),
	}
}

// MaintenanceFromWire converts a message to a declared maintenance. It returns an
// error if the name is empty.
func MaintenanceFromWire(w *wirepb.Maintenance) (model.Maintenance, error) {
	if err := required("maintenance", "name", w.GetName()); err != nil {
		return model.Maintenance{}, err
	}
	return model.Maintenance{
		Name:       w.GetName(),
		Selector:   SelectorFromWire(w.GetSelector()),
		DeclaredAt: clock.Millis(w.GetDeclaredMs()),
		Deadline:   clock.Millis(w.GetDeadlineMs()),
		Version:    model.Version(w.GetVersion()),
	}, nil
}
