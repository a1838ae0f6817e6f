package roster

import (
	"context"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// Bounds of the duty.
const (
	// batchWait is how long the first announcement of a batch waits for others.
	batchWait clock.Millis = 20
	maxBatch  int          = 256
	ringSize  int          = 1024
	// sendTimeout bounds one batch. A lost batch is made up for by the next
	// announcements of the same upstreams, a third of a lease later.
	sendTimeout clock.Millis = 500
)

// Sender passes announcements to one neighbour.
type Sender interface {
	Announce(ctx context.Context, m model.Member, all []model.Announcement) error
}

// Forwarder passes announcements on.
type Forwarder[S Sender] struct {
	sender S
	clock  clock.Clock
	peers  []peer
	done   chan struct{}
}

type peer struct {
	member model.Member
	in     *ring.Ring[model.Announcement]
}

// New returns a roster for the neighbours given.
func New[S Sender](s S, neighbours []model.Member, c clock.Clock) *Forwarder[S] {
	r := &Forwarder[S]{sender: s, clock: c, done: make(chan struct{})}
	for _, m := range neighbours {
		r.peers = append(r.peers, peer{member: m, in: ring.New[model.Announcement](ringSize)})
	}
	return r
}

// Forward passes an announcement that this process received itself on to its
// neighbours. It does not wait; a full ring is counted.
func (r *Forwarder[S]) Forward(a model.Announcement) {
	for _, p := range r.peers {
		p.in.TryPut(a)
	}
}

// Refused is the number of announcements that found a full ring.
func (r *Forwarder[S]) Refused() int64 {
	var n int64
	for _, p := range r.peers {
		n += p.in.Refused()
	}
	return n
}

// Run passes announcements on until Stop.
func (r *Forwarder[S]) Run() error {
	var wg sync.WaitGroup
	for _, p := range r.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runPeer(p)
		}()
	}
	wg.Wait()
	<-r.done
	return nil
}

// Stop ends Run.
func (r *Forwarder[S]) Stop() { close(r.done) }

func (r *Forwarder[S]) runPeer(p peer) {
	for {
		select {
		case a := <-p.in.C():
			r.send(p, a)
		case <-r.done:
			return
		}
	}
}

// send gathers a batch, in which a later announcement of an instance replaces
// an earlier one, and sends it.
func (r *Forwarder[S]) send(p peer, first model.Announcement) {
	select {
	case <-r.clock.After(batchWait):
	case <-r.done:
		return
	}
	gathered := p.in.Drain([]model.Announcement{first}, maxBatch)
	at := make(map[model.InstanceID]int, len(gathered))
	batch := gathered[:0]
	for _, a := range gathered {
		if i, ok := at[a.Instance]; ok {
			batch[i] = a
			continue
		}
		at[a.Instance] = len(batch)
		batch = append(batch, a)
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout.Duration())
	defer cancel()
	_ = r.sender.Announce(ctx, p.member, batch)
}
