package peers

import (
	"context"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// The limits for Raft messages to one member.
const (
	// senderRingMessages is the capacity of a member's ring, in messages.
	senderRingMessages = 1024
	// maxStepMessages is the maximum number of messages in one Step request,
	// and stepTimeout bounds that request.
	maxStepMessages              = 64
	stepTimeout     clock.Millis = 1000
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
	done      chan struct{}
	wg        sync.WaitGroup
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
			s.sendBatch(id, r.Drain([]raft.Message{m}, maxStepMessages))
		case <-s.done:
			return
		}
	}
}

func (s *Senders) sendBatch(id raft.MemberID, batch []raft.Message) {
	s.mu.Lock()
	address := s.addresses[id]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout.Duration())
	defer cancel()
	_ = s.client.step(ctx, address, batch)
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
