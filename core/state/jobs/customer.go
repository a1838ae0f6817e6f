package jobs

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a customer's key; empty for no key. Keys are
// looked up by their digest, so that the time of a look-up says nothing about a key,
// and only the digest is passed on between processes.
type KeyDigest string

// DigestKey returns the digest of a key; empty for an empty key.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:])
}

// String keeps digests out of logs.
func (KeyDigest) String() string { return "redacted" }

// Customer is the configuration of one customer.
type Customer struct {
	Name CustomerName
	// KeyDigests holds the digests of the customer's keys. A customer without any
	// cannot make calls; its jobs run on.
	KeyDigests []KeyDigest
	// WeightPermille is the customer's weight in thousandths. The weight is its share
	// of the capacity while all is in use, and the number of jobs per second that it
	// may submit before its work ranks behind that of others; 0 for no weight.
	WeightPermille int
	// Quota limits what the customer's tasks hold on all workers; 0 means no limit
	// for a resource.
	Quota Resources
}

// Customer returns the customer with the given name and whether it exists.
func (c *Config) Customer(name CustomerName) (Customer, bool) {
	for i := range c.Customers {
		if c.Customers[i].Name == name {
			return c.Customers[i], true
		}
	}
	return Customer{}, false
}

// CustomersByKey returns the names of the customers by the digests of their keys.
func (c *Config) CustomersByKey() map[KeyDigest]CustomerName {
	byKey := map[KeyDigest]CustomerName{}
	for i := range c.Customers {
		for _, digest := range c.Customers[i].KeyDigests {
			byKey[digest] = c.Customers[i].Name
		}
	}
	return byKey
}
