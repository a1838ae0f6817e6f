package raft

import "camphorridge/core/state/clock"

// TransferOutcome is the way in which the transfer of a snapshot ended.
type TransferOutcome int

// The outcomes of a transfer.
const (
	// TransferRunning means that the transfer has not ended.
	TransferRunning TransferOutcome = iota
	// TransferDone means that the receiver has the whole snapshot.
	TransferDone
	// TransferTooOld means that the sender's log no longer has the entries after the
	// snapshot: another one is needed.
	TransferTooOld
	// TransferUnneeded means that the receiver's log reached far enough without the
	// snapshot.
	TransferUnneeded
	// TransferReplaced means that the receiver got a part of another snapshot, or of one
	// from another leader.
	TransferReplaced
)

var outcomeNames = [...]string{"running", "done", "too-old", "unneeded", "replaced"}

// String returns the name of the outcome as used in reports.
func (o TransferOutcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Transfer describes the transfer of a snapshot for reports. No decision depends on it.
type Transfer struct {
	// Number increases from transfer to transfer of one Node; 0 means no transfer.
	Number uint64
	// Peer is the receiver on the leader, and the leader on the receiver.
	Peer MemberID
	// Index is the index of the snapshot.
	Index uint64
	// Bytes is the size of the snapshot, which a receiver knows only at the end; it is 0
	// until then. Offset is the number of bytes that the receiver has.
	Bytes  uint64
	Offset uint64
	// StartedAt is the time when the data was ready on the sender, or when the first
	// part was received. EndedAt is 0 while the transfer runs.
	StartedAt clock.Millis
	EndedAt   clock.Millis
	Outcome   TransferOutcome
}

// Transfers holds the running transfer with one peer and the one that ended last. The
// Number of each is 0 if there is none.
type Transfers struct {
	Running Transfer
	Last    Transfer
}

// Incoming returns the transfers of snapshots to this member.
func (n *Node) Incoming() Transfers { return n.incomingTransfers }

// TransferChanges returns the number of times that a transfer began or ended.
func (n *Node) TransferChanges() uint64 { return n.transferChanges }

func (n *Node) beginTransfer(t *Transfers, peer MemberID, index, bytes uint64) {
	n.transferChanges++
	t.Running = Transfer{Number: n.transferChanges, Peer: peer, Index: index, Bytes: bytes, StartedAt: n.now}
}

// endTransfer ends the running transfer, if there is one.
func (n *Node) endTransfer(t *Transfers, o TransferOutcome) {
	if t.Running.Number == 0 {
		return
	}
	n.transferChanges++
	t.Last, t.Running = t.Running, Transfer{}
	t.Last.EndedAt, t.Last.Outcome = n.now, o
}
