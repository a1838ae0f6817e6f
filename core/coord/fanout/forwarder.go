package fanout

import (
	"context"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// Limits and timeouts of the forwarder.
const (
	// batchWait is how long the first announcement of a batch waits for further ones.
	batchWait clock.Millis = 20
	// maxBatch is the largest number of announcements in one batch.
	maxBatch int = 256
	// ringSize is the number of announcements to one neighbour that can wait.
	ringSize int = 1024
	// sendTimeout is the limit for sending one batch. A lost batch needs no retry:
	// upstreams announce again after a third of their lease.
	sendTimeout clock.Millis = 500
)

// Sender sends announcements to other entry processes.
type Sender interface {
	// Announce sends the announcements to the entry process m.
	Announce(ctx context.Context, m model.Member, announcements []model.Announcement) error
}

// Forwarder forwards announcements to the neighbours of an entry process.
type Forwarder[S Sender] struct {
	sender     S
	clock      clock.Clock
	neighbours []neighbour
	done       chan struct{}
}

// neighbour is an entry process of the same zone and the ring of the announcements
// that wait to be sent to it.
type neighbour struct {
	member   model.Member
	outgoing *ring.Ring[model.Announcement]
}

// New returns a forwarder to the given neighbours.
func New[S Sender](s S, neighbours []model.Member, c clock.Clock) *Forwarder[S] {
	f := &Forwarder[S]{sender: s, clock: c, done: make(chan struct{})}
	for _, m := range neighbours {
		f.neighbours = append(f.neighbours, neighbour{member: m, outgoing: ring.New[model.Announcement](ringSize)})
	}
	return f
}

// Forward queues an announcement for all neighbours. The announcement must have come
// from the upstream directly, not from a neighbour. Forward doesn't block; when the
// ring of a neighbour is full, the announcement to that neighbour is dropped and
// counted.
func (f *Forwarder[S]) Forward(a model.Announcement) {
	for _, nb := range f.neighbours {
		nb.outgoing.TryPut(a)
	}
}

// Refused returns the number of announcements that were dropped because a ring
// was full.
func (f *Forwarder[S]) Refused() int64 {
	var n int64
	for _, nb := range f.neighbours {
		n += nb.outgoing.Refused()
	}
	return n
}

// Run forwards announcements until Stop, also when there are no neighbours.
func (f *Forwarder[S]) Run() error {
	var wg sync.WaitGroup
	for _, nb := range f.neighbours {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.runNeighbour(nb)
		}()
	}
	wg.Wait()
	<-f.done
	return nil
}

// Stop ends Run; waiting announcements are dropped. It must be called at most once.
func (f *Forwarder[S]) Stop() { close(f.done) }

func (f *Forwarder[S]) runNeighbour(nb neighbour) {
	for {
		select {
		case a := <-nb.outgoing.C():
			f.sendBatch(nb, a)
		case <-f.done:
			return
		}
	}
}

// sendBatch collects announcements for batchWait and sends them in one batch, in
// which a later announcement of an instance replaces an earlier one. If Stop is
// called during the wait, nothing is sent.
func (f *Forwarder[S]) sendBatch(nb neighbour, first model.Announcement) {
	select {
	case <-f.clock.After(batchWait):
	case <-f.done:
		return
	}
	received := nb.outgoing.Drain([]model.Announcement{first}, maxBatch)
	indexes := make(map[model.InstanceID]int, len(received))
	batch := received[:0]
	for _, a := range received {
		if i, ok := indexes[a.Instance]; ok {
			batch[i] = a
			continue
		}
		indexes[a.Instance] = len(batch)
		batch = append(batch, a)
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout.Duration())
	defer cancel()
	// The error is ignored: the upstreams announce again, see sendTimeout.
	_ = f.sender.Announce(ctx, nb.member, batch)
}
