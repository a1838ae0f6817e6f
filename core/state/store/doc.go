// Package store stores the durable state of a control member in its data
// folder:
//
//   - meta: member ID, term, vote and commit index, replaced as a whole;
//   - log-<first index>.seg: records of the replicated log, append-only;
//   - snap-<index>.bin: the latest snapshot, replaced as a whole;
//   - lock: locked while a process uses the folder.
//
// A call of Save appends one record, or several for a batch above 16 MiB, and
// syncs each. A record replaces all earlier entries whose index is not below that
// of its first entry: a conflicting suffix of the log is replaced by appending a
// record, and its bytes stay in the segment. Because every record is durable before
// the next one is written, a crash can damage only the last record. Damage
// anywhere else is reported as an error and never repaired.
package store
