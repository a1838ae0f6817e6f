package fleet

import "camphorridge/core/state/clock"

// ExpiringMap is a map whose entries expire after a lifetime. Only Put and Expire
// drop expired entries; until then the other methods still see them. When the map
// holds more than Limit keys, Put and Expire drop the oldest. Times must not decrease
// from one Put to the next.
type ExpiringMap[K comparable, V any] struct {
	// Limit is the largest number of keys; at least 1.
	Limit    int
	Lifetime clock.Millis
	items    map[K]mapEntry[V]
	// order lists the keys in the order of the Puts. Entries of keys that were
	// removed or put again are stale; they stay until they reach the front or
	// compact drops them.
	order []orderedKey[K]
	// lastID is the ID of the last Put. By its ID, an entry of order is recognized as
	// current or stale.
	lastID uint64
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

// staleMargin is how far the stale entries in order may outnumber the keys held
// before they are dropped. Without it, a map with few keys would copy order after
// every few Puts.
const staleMargin = 64

// NewExpiringMap returns an empty map. A limit below 1 counts as 1.
func NewExpiringMap[K comparable, V any](limit int, lifetime clock.Millis) *ExpiringMap[K, V] {
	return &ExpiringMap[K, V]{Limit: max(limit, 1), Lifetime: lifetime, items: map[K]mapEntry[V]{}}
}

// Get returns the value of a key, also if it has expired but was not dropped yet; ok
// is false if the map does not hold the key.
func (m *ExpiringMap[K, V]) Get(k K) (v V, ok bool) {
	entry, ok := m.items[k]
	return entry.value, ok
}

// Put sets the value of a key, starts its lifetime at now, and drops expired
// entries and, beyond Limit, the oldest ones.
func (m *ExpiringMap[K, V]) Put(k K, v V, now clock.Millis) {
	m.lastID++
	m.items[k] = mapEntry[V]{value: v, time: now, id: m.lastID}
	m.order = append(m.order, orderedKey[K]{key: k, id: m.lastID, time: now})
	m.Expire(now)
	m.compact()
}

// compact drops the stale entries of order once they outnumber the keys held by more
// than staleMargin.
// Without it, a single old key at the front would keep all stale entries behind
// it for a whole lifetime.
func (m *ExpiringMap[K, V]) compact() {
	if len(m.order) <= 2*len(m.items)+staleMargin {
		return
	}
	kept := make([]orderedKey[K], 0, len(m.items))
	for _, o := range m.order {
		if entry, ok := m.items[o.key]; ok && entry.id == o.id {
			kept = append(kept, o)
		}
	}
	m.order = kept
}

// Update changes the value of a key without extending its lifetime, also if it has
// expired but was not dropped yet. It does nothing if the map does not hold the key.
func (m *ExpiringMap[K, V]) Update(k K, v V) {
	entry, ok := m.items[k]
	if !ok {
		return
	}
	entry.value = v
	m.items[k] = entry
}

// Remove deletes a key.
func (m *ExpiringMap[K, V]) Remove(k K) { delete(m.items, k) }

// Len returns the number of keys held, including expired ones not dropped yet.
func (m *ExpiringMap[K, V]) Len() int { return len(m.items) }

// Expire drops the entries that are older than the lifetime, and the oldest
// entries while the map holds more keys than its limit.
func (m *ExpiringMap[K, V]) Expire(now clock.Millis) {
	for len(m.order) > 0 {
		first := m.order[0]
		entry, ok := m.items[first.key]
		current := ok && entry.id == first.id
		if current && len(m.items) <= m.Limit && first.time+m.Lifetime > now {
			return
		}
		if current {
			delete(m.items, first.key)
		}
		m.order = m.order[1:]
	}
}

// Each calls f for every key held, oldest first and including expired ones not
// dropped yet; t is the time of its Put.
func (m *ExpiringMap[K, V]) Each(f func(k K, v V, t clock.Millis)) {
	for _, o := range m.order {
		entry, ok := m.items[o.key]
		if ok && entry.id == o.id {
			f(o.key, entry.value, entry.time)
		}
	}
}
