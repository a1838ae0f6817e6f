package codec

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// ChangeToWire converts a change to its message. It sets the fields that all
// kinds of change share and those that the kind of c uses; the others stay empty.
func ChangeToWire(c model.Change) *wirepb.Change {
	w := &wirepb.Change{
		Kind:    int32(c.Kind),
		TimeMs:  int64(c.Time),
		Request: validUTF8(c.Request),
		Author:  validUTF8(c.Author),
		Base:    uint64(c.Base),
		Note:    validUTF8(c.Note),
	}
	switch c.Kind {
	case model.ChangeContractApply:
		w.Contract = ContractToWire(c.Contract)
	case model.ChangeContractRemove:
		w.Customer = validUTF8(c.Customer)
	case model.ChangeMaintenanceDeclare, model.ChangeMaintenanceCancel:
		w.Maintenance = MaintenanceToWire(c.Maintenance)
	case model.ChangeInstances:
		w.Instances = mapAll(c.Instances, InstanceStepToWire)
	case model.ChangeClaims:
		w.Claims = mapAll(c.Claims, ClaimToWire)
		w.Process, w.Run = validUTF8(c.Process), c.Incarnation
	case model.ChangeOutcomes:
		w.Outcomes = mapAll(c.Outcomes, ClaimOutcomeToWire)
	case model.ChangeProcessGone:
		w.Process = validUTF8(c.Process)
	case model.ChangeJobs:
		w.Ops = mapAll(c.Ops, JobOpToWire)
	}
	return w
}

// ChangeFromWire converts a message to a change. It returns an error if the kind
// is not defined or a field that the kind uses is not valid. Fields that the kind
// does not use are ignored.
func ChangeFromWire(w *wirepb.Change) (model.Change, error) {
	kind, err := enumFromWire("change", "kind", w.GetKind(), model.ChangeJobs)
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
		c.Instances, err = tryMapAll(w.GetInstances(), InstanceStepFromWire)
	case model.ChangeClaims:
		c.Claims, err = tryMapAll(w.GetClaims(), ClaimFromWire)
		c.Process, c.Incarnation = model.Process(w.GetProcess()), w.GetRun()
	case model.ChangeOutcomes:
		c.Outcomes, err = tryMapAll(w.GetOutcomes(), ClaimOutcomeFromWire)
	case model.ChangeProcessGone:
		c.Process = model.Process(w.GetProcess())
		err = required("change", "process", w.GetProcess())
	case model.ChangeJobs:
		c.Ops, err = tryMapAll(w.GetOps(), JobOpFromWire)
	}
	if err != nil {
		return model.Change{}, err
	}
	return c, nil
}

// InstanceStepToWire converts the change of one instance, from a base version to
// its new state, to its message.
func InstanceStepToWire(s model.InstanceStep) *wirepb.InstanceStep {
	return &wirepb.InstanceStep{Base: uint64(s.Base), Instance: InstanceToWire(s.Instance)}
}

// InstanceStepFromWire converts a message to the change of one instance. It
// returns an error if the instance is not valid.
func InstanceStepFromWire(w *wirepb.InstanceStep) (model.InstanceStep, error) {
	i, err := InstanceFromWire(w.GetInstance())
	if err != nil {
		return model.InstanceStep{}, err
	}
	return model.InstanceStep{Base: model.Version(w.GetBase()), Instance: i}, nil
}

// ClaimKeyToWire converts a claim key (customer, service and idempotency key) to its
// message. The idempotency key is sent as bytes, because callers may choose one that
// is not UTF-8.
func ClaimKeyToWire(k model.ClaimKey) *wirepb.ClaimKey {
	return &wirepb.ClaimKey{Customer: validUTF8(k.Customer), Service: validUTF8(k.Service), Key: []byte(k.Key)}
}

// ClaimKeyFromWire converts a message to a claim key. It returns an error if any
// field is empty.
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

// ClaimToWire converts the claim of an idempotency key to its message.
func ClaimToWire(c model.Claim) *wirepb.Claim {
	return &wirepb.Claim{Key: ClaimKeyToWire(c.Key), Token: validUTF8(c.Token), Owner: validUTF8(c.Owner)}
}

// ClaimFromWire converts a message to the claim of an idempotency key. It returns an
// error if the key is not valid or the token is empty; without a token, claims of the
// same key could not be distinguished.
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

// ClaimOutcomeToWire converts the outcome of a claimed request to its message.
func ClaimOutcomeToWire(o model.ClaimOutcome) *wirepb.ClaimOutcome {
	return &wirepb.ClaimOutcome{
		Key:    ClaimKeyToWire(o.Key),
		Token:  validUTF8(o.Token),
		NotRun: o.NotRun,
		State:  int32(o.State),
		Status: int64(o.Status),
	}
}

// ClaimOutcomeFromWire converts a message to the outcome of a claimed request.
// It returns an error if the key is not valid, the token is empty or the state is not
// defined.
func ClaimOutcomeFromWire(w *wirepb.ClaimOutcome) (model.ClaimOutcome, error) {
	const op = "claim outcome"
	k, err := ClaimKeyFromWire(w.GetKey())
	if err != nil {
		return model.ClaimOutcome{}, err
	}
	if err := required(op, "token", w.GetToken()); err != nil {
		return model.ClaimOutcome{}, err
	}
	state, err := enumFromWire(op, "state", w.GetState(), model.ClaimUnknown)
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

// ClaimAnswerToWire converts the answer to a claim to its message.
func ClaimAnswerToWire(a model.ClaimAnswer) *wirepb.ClaimAnswer {
	return &wirepb.ClaimAnswer{Granted: a.Granted, First: int32(a.FirstState), Status: int64(a.Status)}
}

// ClaimAnswerFromWire converts a message to the answer to a claim. It returns an
// error if the state of the request that already holds the key is not defined.
func ClaimAnswerFromWire(w *wirepb.ClaimAnswer) (model.ClaimAnswer, error) {
	first, err := enumFromWire("claim answer", "first", w.GetFirst(), model.ClaimUnknown)
	if err != nil {
		return model.ClaimAnswer{}, err
	}
	return model.ClaimAnswer{Granted: w.GetGranted(), FirstState: first, Status: int(w.GetStatus())}, nil
}

// ResultToWire converts the result of a change to its message.
func ResultToWire(r model.Result) *wirepb.Result {
	return &wirepb.Result{
		Kind:    int32(r.Kind),
		Version: uint64(r.Version),
		Winner:  validUTF8(r.Winner),
		Differs: mapAll(r.DifferingFields, validUTF8[string]),
		Reason:  validUTF8(r.Reason),
		Claims:  mapAll(r.Claims, ClaimAnswerToWire),
	}
}

// ResultFromWire converts a message to the result of a change. It returns an
// error if the kind of the result or the state in the answer to a claim is not
// defined.
func ResultFromWire(w *wirepb.Result) (model.Result, error) {
	kind, err := enumFromWire("result", "kind", w.GetKind(), model.ResultInvalid)
	if err != nil {
		return model.Result{}, err
	}
	claims, err := tryMapAll(w.GetClaims(), ClaimAnswerFromWire)
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
