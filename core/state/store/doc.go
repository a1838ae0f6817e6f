// Package store keeps the durable state of a control member in its data
// folder:
//
//   - meta: identity, term, vote and commit index, replaced as a whole;
//   - log-<first index>.seg: records of the replicated log, appended;
//   - snap-<index>.bin: the latest snapshot, replaced as a whole;
//   - lock: held while a process uses the folder.
//
// One call of Save appends one record and syncs once. A record replaces all
// entries from its first index on, so that an overwritten suffix needs no
// rewriting inside a segment. As every record is synced before the next one
// is written, a crash can damage the last record only; damage anywhere else
// is reported and never repaired by guessing.
package store
