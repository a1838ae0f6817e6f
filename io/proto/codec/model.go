package codec

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// ContractToWire maps a contract.
func ContractToWire(c model.Contract) *wirepb.Contract {
	return &wirepb.Contract{
		Customer:       text(c.Customer),
		Version:        uint64(c.Version),
		Covers:         int32(c.Covers),
		Pools:          list(c.Pools, poolShareToWire),
		Concurrency:    int64(c.Concurrency),
		Queue:          int64(c.Queue),
		RetryPercent:   int64(c.RetryPercent),
		MaxUnavailable: int64(c.MaxUnavailable),
		BudgetMs:       int64(c.BudgetMillis),
		WindowMs:       int64(c.WindowMillis),
		Spare:          int64(c.Spare),
		SparePool:      text(c.SparePool),
		MilliCores:     int64(c.Quota.MilliCores),
		MemoryMib:      int64(c.Quota.MemoryMiB),
		Accelerators:   int64(c.Quota.Accelerators),
	}
}

// ContractFromWire maps a contract; the customer and the names of its pools
// are required.
func ContractFromWire(w *wirepb.Contract) (model.Contract, error) {
	const op = "contract"
	if err := required(op, "customer", w.GetCustomer()); err != nil {
		return model.Contract{}, err
	}
	covers, err := enum(op, "covers", w.GetCovers(), model.DomainZone)
	if err != nil {
		return model.Contract{}, err
	}
	pools, err := listFrom(w.GetPools(), poolShareFromWire)
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
	return &wirepb.PoolShare{Pool: text(p.Pool), Instances: int64(p.Instances)}
}

func poolShareFromWire(w *wirepb.PoolShare) (model.PoolShare, error) {
	if err := required("pool share", "pool", w.GetPool()); err != nil {
		return model.PoolShare{}, err
	}
	return model.PoolShare{Pool: model.Pool(w.GetPool()), Instances: int(w.GetInstances())}, nil
}

// InstanceToWire maps an instance.
func InstanceToWire(i model.Instance) *wirepb.Instance {
	return &wirepb.Instance{
		Id:           text(i.ID),
		Zone:         text(i.Zone),
		Rack:         text(i.Rack),
		Pool:         text(i.Pool),
		Target:       text(i.Target),
		Phase:        int32(i.Phase),
		Slots:        int64(i.Slots),
		Connections:  int64(i.Connections),
		Reason:       text(i.Reason),
		MaintainedMs: int64(i.MaintainedAt),
		Incarnation:  i.Incarnation,
		LostMs:       int64(i.LostSince),
		OutMs:        int64(i.OutSince),
		SinceMs:      int64(i.PhaseSince),
		Version:      uint64(i.Version),
	}
}

// InstanceFromWire maps an instance; its name, zone and pool are required.
func InstanceFromWire(w *wirepb.Instance) (model.Instance, error) {
	const op = "instance"
	if err := required(op, "id", w.GetId(), "zone", w.GetZone(), "pool", w.GetPool()); err != nil {
		return model.Instance{}, err
	}
	phase, err := enum(op, "phase", w.GetPhase(), model.PhaseRetired)
	if err != nil {
		return model.Instance{}, err
	}
	return model.Instance{
		ID:           model.InstanceID(w.GetId()),
		Zone:         model.Zone(w.GetZone()),
		Rack:         model.Rack(w.GetRack()),
		Pool:         model.Pool(w.GetPool()),
		Target:       model.Pool(w.GetTarget()),
		Phase:        phase,
		Slots:        int(w.GetSlots()),
		Connections:  int(w.GetConnections()),
		Reason:       w.GetReason(),
		MaintainedAt: clock.Millis(w.GetMaintainedMs()),
		Incarnation:  w.GetIncarnation(),
		LostSince:    clock.Millis(w.GetLostMs()),
		OutSince:     clock.Millis(w.GetOutMs()),
		PhaseSince:   clock.Millis(w.GetSinceMs()),
		Version:      model.Version(w.GetVersion()),
	}, nil
}

// SelectorToWire maps a selector.
func SelectorToWire(s model.Selector) *wirepb.Selector {
	return &wirepb.Selector{
		Pool:     text(s.Pool),
		Zone:     text(s.Zone),
		Rack:     text(s.Rack),
		Instance: text(s.Instance),
	}
}

// SelectorFromWire maps a selector; every field may be empty.
func SelectorFromWire(w *wirepb.Selector) model.Selector {
	return model.Selector{
		Pool:     model.Pool(w.GetPool()),
		Zone:     model.Zone(w.GetZone()),
		Rack:     model.Rack(w.GetRack()),
		Instance: model.InstanceID(w.GetInstance()),
	}
}

// MaintenanceToWire maps a declaration.
func MaintenanceToWire(m model.Maintenance) *wirepb.Maintenance {
	return &wirepb.Maintenance{
		Name:       text(m.Name),
		Selector:   SelectorToWire(m.Selector),
		DeclaredMs: int64(m.DeclaredAt),
		DeadlineMs: int64(m.Deadline),
		Version:    uint64(m.Version),
	}
}

// MaintenanceFromWire maps a declaration; its name is required.
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
