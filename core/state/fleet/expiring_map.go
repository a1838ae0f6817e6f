package fleet

import "camphorridge/core/state/clock"

// ExpiringMap remembers values by key for a lifetime and up to a number of keys;
// the oldest go first. Times must not decrease from one Put to the next.
type ExpiringMap[K comparable, V any] struct {
	// Limit is the largest number of keys; at least 1.
	Limit    int
	Lifetime clock.Millis
	items    map[K]mapEntry[V]
	// order holds the keys in the order of their first Put; keys that were
	// removed or put again stay in it until they reach the front.
	order []orderedKey[K]
	next  uint64
}

type mapEntry[V any] struct {
	value V
	time  clock.Millis
	id    uint64
}

type orderedKey[K comparable] struct {
	key  K
	id   uint64
	time clock.Millis
}

// minStaleKeys is the number of stale keys below which a compaction is not
// worth its copy.
const minStaleKeys = 64

// NewExpiringMap returns an empty memory.
func NewExpiringMap[K comparable, V any](limit int, lifetime clock.Millis) *ExpiringMap[K, V] {
	return &ExpiringMap[K, V]{Limit: max(limit, 1), Lifetime: lifetime, items: map[K]mapEntry[V]{}}
}

// Get returns the value of a key that was not forgotten yet.
func (m *ExpiringMap[K, V]) Get(k K) (v V, ok bool) {
	r, ok := m.items[k]
	return r.value, ok
}

// Put remembers a value from now on and forgets what is too old.
func (m *ExpiringMap[K, V]) Put(k K, v V, now clock.Millis) {
	m.next++
	m.items[k] = mapEntry[V]{value: v, time: now, id: m.next}
	m.order = append(m.order, orderedKey[K]{key: k, id: m.next, time: now})
	m.Expire(now)
	m.compact()
}

// compact drops the keys that were removed or put again once they outnumber
// the keys held. Without it a single old key at the front would keep every
// key removed after it for a whole lifetime.
func (m *ExpiringMap[K, V]) compact() {
	if len(m.order) <= 2*len(m.items)+minStaleKeys {
		return
	}
	kept := make([]orderedKey[K], 0, len(m.items))
	for _, o := range m.order {
		if r, ok := m.items[o.key]; ok && r.id == o.id {
			kept = append(kept, o)
		}
	}
	m.order = kept
}

// Update changes the value of a key without making it younger. It does
// nothing for a key that is not held.
func (m *ExpiringMap[K, V]) Update(k K, v V) {
	r, ok := m.items[k]
	if !ok {
		return
	}
	r.value = v
	m.items[k] = r
}

// Remove forgets a key.
func (m *ExpiringMap[K, V]) Remove(k K) { delete(m.items, k) }

// Len is the number of keys held.
func (m *ExpiringMap[K, V]) Len() int { return len(m.items) }

// Expire forgets what is older than the lifetime or beyond the limit.
func (m *ExpiringMap[K, V]) Expire(now clock.Millis) {
	for len(m.order) > 0 {
		first := m.order[0]
		r, ok := m.items[first.key]
		current := ok && r.id == first.id
		if current && len(m.items) <= m.Limit && first.time+m.Lifetime > now {
			return
		}
		if current {
			delete(m.items, first.key)
		}
		m.order = m.order[1:]
	}
}

// Each calls f for every key held, oldest first.
func (m *ExpiringMap[K, V]) Each(f func(k K, v V, t clock.Millis)) {
	for _, o := range m.order {
		r, ok := m.items[o.key]
		if ok && r.id == o.id {
			f(o.key, r.value, r.time)
		}
	}
}
