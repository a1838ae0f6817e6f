package codec

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// ChangeToWire maps a change: the common fields and those that belong to its
// kind.
func ChangeToWire(c model.Change) *wirepb.Change {
	w := &wirepb.Change{
		Kind:    int32(c.Kind),
		TimeMs:  int64(c.Time),
		Request: text(c.Request),
		Author:  text(c.Author),
		Base:    uint64(c.Base),
		Note:    text(c.Note),
	}
	switch c.Kind {
	case model.ChangeContractApply:
		w.Contract = ContractToWire(c.Contract)
	case model.ChangeContractRemove:
		w.Customer = text(c.Customer)
	case model.ChangeMaintenanceDeclare, model.ChangeMaintenanceCancel:
		w.Maintenance = MaintenanceToWire(c.Maintenance)
	case model.ChangeInstances:
		w.Instances = list(c.Instances, InstanceStepToWire)
	case model.ChangeClaims:
		w.Claims = list(c.Claims, ClaimToWire)
		w.Process, w.Run = text(c.Process), c.Incarnation
	case model.ChangeOutcomes:
		w.Outcomes = list(c.Outcomes, ClaimOutcomeToWire)
	case model.ChangeProcessGone:
		w.Process = text(c.Process)
	case model.ChangeJobs:
		w.Ops = list(c.Ops, OpToWire)
	}
	return w
}

// ChangeFromWire maps a change. The names in the fields that belong to its
// kind are required; the other fields are ignored.
func ChangeFromWire(w *wirepb.Change) (model.Change, error) {
	kind, err := enum("change", "kind", w.GetKind(), model.ChangeJobs)
	if err != nil {
		return model.Change{}, err
	}
	c := model.Change{
		Kind:    kind,
		Time:    clock.Millis(w.GetTimeMs()),
		Request: model.RequestID(w.GetRequest()),
		Author:  w.GetAuthor(),
		Base:    model.Version(w.GetBase()),
		Note:    w.GetNote(),
	}
	switch kind {
	case model.ChangeContractApply:
		c.Contract, err = ContractFromWire(w.GetContract())
	case model.ChangeContractRemove:
		c.Customer = model.Customer(w.GetCustomer())
		err = required("change", "customer", w.GetCustomer())
	case model.ChangeMaintenanceDeclare, model.ChangeMaintenanceCancel:
		c.Maintenance, err = MaintenanceFromWire(w.GetMaintenance())
	case model.ChangeInstances:
		c.Instances, err = listFrom(w.GetInstances(), InstanceStepFromWire)
	case model.ChangeClaims:
		c.Claims, err = listFrom(w.GetClaims(), ClaimFromWire)
		c.Process, c.Incarnation = model.Process(w.GetProcess()), w.GetRun()
	case model.ChangeOutcomes:
		c.Outcomes, err = listFrom(w.GetOutcomes(), ClaimOutcomeFromWire)
	case model.ChangeProcessGone:
		c.Process = model.Process(w.GetProcess())
		err = required("change", "process", w.GetProcess())
	case model.ChangeJobs:
		c.Ops, err = listFrom(w.GetOps(), OpFromWire)
	}
	if err != nil {
		return model.Change{}, err
	}
	return c, nil
}

// InstanceStepToWire maps a step.
func InstanceStepToWire(s model.InstanceStep) *wirepb.InstanceStep {
	return &wirepb.InstanceStep{Base: uint64(s.Base), Instance: InstanceToWire(s.Instance)}
}

// InstanceStepFromWire maps a step.
func InstanceStepFromWire(w *wirepb.InstanceStep) (model.InstanceStep, error) {
	i, err := InstanceFromWire(w.GetInstance())
	if err != nil {
		return model.InstanceStep{}, err
	}
	return model.InstanceStep{Base: model.Version(w.GetBase()), Instance: i}, nil
}

// ClaimKeyToWire maps a key.
func ClaimKeyToWire(k model.ClaimKey) *wirepb.ClaimKey {
	return &wirepb.ClaimKey{Customer: text(k.Customer), Service: text(k.Service), Key: []byte(k.Key)}
}

// ClaimKeyFromWire maps a key; all its fields are required.
func ClaimKeyFromWire(w *wirepb.ClaimKey) (model.ClaimKey, error) {
	k := model.ClaimKey{
		Customer: model.Customer(w.GetCustomer()),
		Service:  model.Pool(w.GetService()),
		Key:      string(w.GetKey()),
	}
	err := required("claim key", "customer", w.GetCustomer(), "service", w.GetService(), "key", k.Key)
	if err != nil {
		return model.ClaimKey{}, err
	}
	return k, nil
}

// ClaimToWire maps a claim.
func ClaimToWire(c model.Claim) *wirepb.Claim {
	return &wirepb.Claim{Key: ClaimKeyToWire(c.Key), Token: text(c.Token), Owner: text(c.Owner)}
}

// ClaimFromWire maps a claim; its token is required, because claims without
// one could not be told apart.
func ClaimFromWire(w *wirepb.Claim) (model.Claim, error) {
	k, err := ClaimKeyFromWire(w.GetKey())
	if err != nil {
		return model.Claim{}, err
	}
	if err := required("claim", "token", w.GetToken()); err != nil {
		return model.Claim{}, err
	}
	return model.Claim{Key: k, Token: w.GetToken(), Owner: model.Process(w.GetOwner())}, nil
}

// ClaimOutcomeToWire maps an outcome.
func ClaimOutcomeToWire(o model.ClaimOutcome) *wirepb.ClaimOutcome {
	return &wirepb.ClaimOutcome{
		Key:    ClaimKeyToWire(o.Key),
		Token:  text(o.Token),
		NotRun: o.NotRun,
		State:  int32(o.State),
		Status: int64(o.Status),
	}
}

// ClaimOutcomeFromWire maps an outcome; its token is required.
func ClaimOutcomeFromWire(w *wirepb.ClaimOutcome) (model.ClaimOutcome, error) {
	const op = "claim outcome"
	k, err := ClaimKeyFromWire(w.GetKey())
	if err != nil {
		return model.ClaimOutcome{}, err
	}
	if err := required(op, "token", w.GetToken()); err != nil {
		return model.ClaimOutcome{}, err
	}
	state, err := enum(op, "state", w.GetState(), model.ClaimUnknown)
	if err != nil {
		return model.ClaimOutcome{}, err
	}
	return model.ClaimOutcome{
		Key:    k,
		Token:  w.GetToken(),
		NotRun: w.GetNotRun(),
		State:  state,
		Status: int(w.GetStatus()),
	}, nil
}

// ClaimAnswerToWire maps an answer.
func ClaimAnswerToWire(a model.ClaimAnswer) *wirepb.ClaimAnswer {
	return &wirepb.ClaimAnswer{Granted: a.Granted, First: int32(a.FirstState), Status: int64(a.Status)}
}

// ClaimAnswerFromWire maps an answer.
func ClaimAnswerFromWire(w *wirepb.ClaimAnswer) (model.ClaimAnswer, error) {
	first, err := enum("claim answer", "first", w.GetFirst(), model.ClaimUnknown)
	if err != nil {
		return model.ClaimAnswer{}, err
	}
	return model.ClaimAnswer{Granted: w.GetGranted(), FirstState: first, Status: int(w.GetStatus())}, nil
}

// ResultToWire maps a result.
func ResultToWire(r model.Result) *wirepb.Result {
	return &wirepb.Result{
		Kind:    int32(r.Kind),
		Version: uint64(r.Version),
		Winner:  text(r.Winner),
		Differs: list(r.DifferingFields, text[string]),
		Reason:  text(r.Reason),
		Claims:  list(r.Claims, ClaimAnswerToWire),
	}
}

// ResultFromWire maps a result.
func ResultFromWire(w *wirepb.Result) (model.Result, error) {
	kind, err := enum("result", "kind", w.GetKind(), model.ResultInvalid)
	if err != nil {
		return model.Result{}, err
	}
	claims, err := listFrom(w.GetClaims(), ClaimAnswerFromWire)
	if err != nil {
		return model.Result{}, err
	}
	return model.Result{
		Kind:            kind,
		Version:         model.Version(w.GetVersion()),
		Winner:          w.GetWinner(),
		DifferingFields: w.GetDiffers(),
		Reason:          w.GetReason(),
		Claims:          claims,
	}, nil
}
