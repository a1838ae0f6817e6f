package peers

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// The limits for Raft messages to one member.
const (
	// senderRingMessages is the capacity of a member's ring, in messages.
	senderRingMessages int = 1024
	// maxStepMessages is the maximum number of messages in one Step request. A request
	// takes no further message once it has maxStepBytes: all its messages are lost if it
	// fails.
	maxStepMessages int = 64
	maxStepBytes    int = 256 << 10
	// stepTimeout bounds a request, with a millisecond more for each minLinkBytes of it,
	// the bytes a millisecond that a slow link still carries.
	stepTimeout  clock.Millis = 1000
	minLinkBytes int64        = 256
)

// Senders sends Raft messages, with one goroutine and one ring for each member,
// so that an unresponsive member does not delay the messages to the others. If a
// ring is full, the message is dropped; Raft tolerates lost messages.
type Senders struct {
	client *Client
	// configured holds the addresses in the settings by process name; they take
	// precedence over those in the member list.
	configured map[model.Process]string
	mu         sync.Mutex
	// rings holds the ring of each member that was sent a message.
	rings map[raft.MemberID]*ring.Ring[raft.Message]
	// addresses holds the latest known address of each member; members that have
	// left the group stay in it.
	addresses map[raft.MemberID]string
	statuses  map[raft.MemberID]SendStatus
	done      chan struct{}
	wg        sync.WaitGroup
}

// SendStatus counts the messages to one member; the counts never decrease.
type SendStatus struct {
	Member  raft.MemberID
	Address string
	// Requests counts the requests that succeeded, and FailedRequests the others.
	Requests       int64
	FailedRequests int64
	// FailedMessages counts the messages of the failed requests, and FailedBytes the bytes
	// of their log entries and parts of snapshots.
	FailedMessages int64
	FailedBytes    int64
	// Refused counts the messages dropped because the ring was full, and Unaddressed those
	// dropped because no address was known.
	Refused     int64
	Unaddressed int64
	// LastError is the error of the last failed request.
	LastError string
}

// Status returns the status of each member that was to be sent a message, in the order
// of the IDs.
func (s *Senders) Status() []SendStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Collect(maps.Values(s.statuses))
	for i := range all {
		all[i].Address = s.addresses[all[i].Member]
		if r := s.rings[all[i].Member]; r != nil {
			all[i].Refused = r.Refused()
		}
	}
	slices.SortFunc(all, func(a, b SendStatus) int { return cmp.Compare(a.Member, b.Member) })
	return all
}

// count changes the status of a member. The caller holds s.mu.
func (s *Senders) count(id raft.MemberID, change func(*SendStatus)) {
	st := s.statuses[id]
	st.Member = id
	change(&st)
	s.statuses[id] = st
}

// payloadBytes returns the bytes of log entries and parts of snapshots in messages.
func payloadBytes(all []raft.Message) (n int64) {
	for _, m := range all {
		n += int64(len(m.Chunk))
		for _, e := range m.Entries {
			n += int64(len(e.Data))
		}
	}
	return n
}

// NewSenders returns a Senders without members; configured lists the control
// processes in the settings.
func NewSenders(c *Client, configured []model.Member) *Senders {
	byName := make(map[model.Process]string, len(configured))
	for _, m := range configured {
		byName[m.Name] = m.Address
	}
	return &Senders{
		configured: byName,
		client:     c,
		rings:      map[raft.MemberID]*ring.Ring[raft.Message]{},
		addresses:  map[raft.MemberID]string{},
		statuses:   map[raft.MemberID]SendStatus{},
		done:       make(chan struct{}),
	}
}

// AddMembers adds members or updates their addresses.
func (s *Senders) AddMembers(all []raft.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range all {
		s.addresses[m.ID] = m.Address
		if a, ok := s.configured[m.Name]; ok {
			s.addresses[m.ID] = a
		}
	}
}

// Send passes messages to the goroutines of their recipients. It does not block.
// Messages to unknown members are dropped.
func (s *Senders) Send(all []raft.Message) {
	for _, m := range all {
		if r := s.ring(m.To); r != nil {
			r.TryPut(m)
		}
	}
}

// ring returns the ring of a member, or nil if the member's address is unknown. The
// first call for a member creates the ring and starts the member's goroutine.
func (s *Senders) ring(id raft.MemberID) *ring.Ring[raft.Message] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses[id] == "" {
		s.count(id, func(st *SendStatus) { st.Unaddressed++ })
		return nil
	}
	r, ok := s.rings[id]
	if !ok {
		r = ring.New[raft.Message](senderRingMessages)
		s.rings[id] = r
		s.wg.Add(1)
		go s.run(id, r)
	}
	return r
}

func (s *Senders) run(id raft.MemberID, r *ring.Ring[raft.Message]) {
	defer s.wg.Done()
	for {
		select {
		case m := <-r.C():
			s.sendBatch(id, drainBatch(r, m))
		case <-s.done:
			return
		}
	}
}

// drainBatch returns the messages of one Step request: first and those that are queued
// behind it, as far as the limits of a request allow.
func drainBatch(r *ring.Ring[raft.Message], first raft.Message) []raft.Message {
	batch, size := []raft.Message{first}, first.Bytes()
	for len(batch) < maxStepMessages && size < maxStepBytes {
		n := len(batch)
		batch = r.Drain(batch, n+1)
		if len(batch) == n {
			break
		}
		size += batch[n].Bytes()
	}
	return batch
}

func (s *Senders) sendBatch(id raft.MemberID, batch []raft.Message) {
	s.mu.Lock()
	address := s.addresses[id]
	s.mu.Unlock()
	timeout := stepTimeout + clock.Millis(payloadBytes(batch)/minLinkBytes)
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	err := s.client.step(ctx, address, batch)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(id, func(st *SendStatus) {
		if err == nil {
			st.Requests++
			return
		}
		st.FailedRequests++
		st.FailedMessages += int64(len(batch))
		st.FailedBytes += payloadBytes(batch)
		st.LastError = err.Error()
	})
}

// Dropped returns the number of messages dropped because a ring was full.
func (s *Senders) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for _, r := range s.rings {
		n += r.Refused()
	}
	return n
}

// Stop ends the goroutines and waits for them. It must be called only once.
func (s *Senders) Stop() {
	close(s.done)
	s.wg.Wait()
}
