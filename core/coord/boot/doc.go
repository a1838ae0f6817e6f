// Package boot decides how a control process with an empty data folder
// becomes a member: it forms a new group only when every configured member
// answers and none has ever been in a group; otherwise it waits until the
// leader of the existing group adds it.
package boot
