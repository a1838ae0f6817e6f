package peers

import (
	"context"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// Bounds of the consensus messages to one member.
const (
	senderRing                   = 1024
	maxStepMessages              = 64
	stepTimeout     clock.Millis = 1000
)

// Senders sends consensus messages, with one goroutine and one ring for each
// member, so that a silent member holds up no other. A full ring drops the
// message, which consensus allows for.
type Senders struct {
	client *Client
	// configured holds the addresses from the settings by name; they go before
	// those in the member list.
	configured map[model.Process]string
	mu         sync.Mutex
	// rings holds one ring for each member by identity.
	rings map[raft.MemberID]*ring.Ring[raft.Message]
	// addresses is the current address of each member.
	addresses map[raft.MemberID]string
	done      chan struct{}
	wg        sync.WaitGroup
}

// NewSenders returns senders that know the addresses in the settings.
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

// SetMembers sets the addresses of the members.
func (s *Senders) SetMembers(all []raft.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range all {
		s.addresses[m.ID] = m.Address
		if a, ok := s.configured[m.Name]; ok {
			s.addresses[m.ID] = a
		}
	}
}

// Send passes messages to their members' goroutines. It does not wait.
func (s *Senders) Send(all []raft.Message) {
	for _, m := range all {
		if r := s.ring(m.To); r != nil {
			r.TryPut(m)
		}
	}
}

func (s *Senders) ring(id raft.MemberID) *ring.Ring[raft.Message] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses[id] == "" {
		return nil
	}
	r, ok := s.rings[id]
	if !ok {
		r = ring.New[raft.Message](senderRing)
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
			s.post(id, r.Drain([]raft.Message{m}, maxStepMessages))
		case <-s.done:
			return
		}
	}
}

func (s *Senders) post(id raft.MemberID, batch []raft.Message) {
	s.mu.Lock()
	address := s.addresses[id]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout.Duration())
	defer cancel()
	_ = s.client.step(ctx, address, batch)
}

// Dropped is the number of messages that found a full ring.
func (s *Senders) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int64
	for _, r := range s.rings {
		n += r.Refused()
	}
	return n
}

// Stop ends the goroutines.
func (s *Senders) Stop() {
	close(s.done)
	s.wg.Wait()
}
