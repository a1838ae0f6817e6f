package peers

import (
	"context"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/report"
	"camphorridge/io/proto/wirepb"
)

// SystemView is the leader's view of the system, for operators' commands.
type SystemView struct {
	Status report.Status
	// Controls and Entries list the configured processes.
	Controls []model.Member
	Entries  []model.Member
	// Waits lists what the mover waits for.
	Waits []Wait
}

// Wait is a reason why the mover cannot take a step or reach a goal yet. Its fields
// have the same meaning as those of mover.Wait.
type Wait struct {
	Instance    model.InstanceID
	Unconfirmed []string
	Since       clock.Millis
	Reason      string
}

// Status requests the leader's view of the system.
func (l *LeaderClient) Status(ctx context.Context) (SystemView, error) {
	var v SystemView
	err := l.call(ctx, "status", func(ctx context.Context, member remote) error {
		resp, err := member.control.Status(ctx, &wirepb.StatusRequest{})
		if err != nil {
			return err
		}
		v, err = systemViewFromWire(resp)
		return err
	})
	return v, err
}

func systemViewFromWire(w *wirepb.StatusResponse) (SystemView, error) {
	v := SystemView{Status: report.Status{
		Member: model.Process(w.GetMember()), Leader: model.Process(w.GetLeader()), Role: w.GetRole(),
		Term: w.GetTerm(), Commit: model.Version(w.GetCommit()), Version: model.Version(w.GetVersion()),
		Now: clock.Millis(w.GetNowMs()),
	}}
	st := &v.Status
	var err error
	if st.Contracts, err = convertAll(w.GetContracts(), codec.ContractFromWire); err != nil {
		return v, err
	}
	if st.Instances, err = convertAll(w.GetInstances(), codec.InstanceFromWire); err != nil {
		return v, err
	}
	if st.Maintenance, err = convertAll(w.GetMaintenance(), codec.MaintenanceFromWire); err != nil {
		return v, err
	}
	for _, p := range w.GetProcesses() {
		st.Processes = append(st.Processes, report.ProcessStatus{
			Name: model.Process(p.GetName()), Zone: model.Zone(p.GetZone()),
			Version: model.Version(p.GetVersion()), DrainedVersion: model.Version(p.GetDrained()),
			VersionSince: clock.Millis(p.GetSinceMs()), LastReportAt: clock.Millis(p.GetSeenMs()),
			Incarnation: p.GetIncarnation(),
		})
	}
	for _, m := range w.GetControls() {
		v.Controls = append(v.Controls, codec.MemberFromWire(m))
	}
	for _, m := range w.GetEntries() {
		v.Entries = append(v.Entries, codec.MemberFromWire(m))
	}
	for _, wait := range w.GetWaits() {
		v.Waits = append(v.Waits, Wait{
			Instance: model.InstanceID(wait.GetInstance()), Unconfirmed: wait.GetFor(),
			Since: clock.Millis(wait.GetSinceMs()), Reason: wait.GetReason(),
		})
	}
	return v, nil
}

// convertAll applies f to all elements and stops at the first error.
func convertAll[A, B any](in []A, f func(A) (B, error)) ([]B, error) {
	out := make([]B, 0, len(in))
	for _, a := range in {
		b, err := f(a)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// Events requests the event log of the process at address. dropped is the number
// of events that the process has dropped from it.
func (c *Client) Events(ctx context.Context, address string) (events []model.Event, dropped int64, err error) {
	resp, err := c.remote(address).events.Events(ctx, &wirepb.EventsRequest{})
	if err != nil {
		return nil, 0, c.callError("events of "+address, err)
	}
	events, err = convertAll(resp.GetEvents(), codec.EventFromWire)
	return events, resp.GetDropped(), err
}
