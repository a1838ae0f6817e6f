// Package ring holds the bounded queue that joins two duties.
package ring
