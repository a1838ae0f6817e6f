// Package boot manages the membership of control processes in the control group. A
// process with an empty data folder forms a new group only when every configured
// member answers and none has ever been in a group; otherwise it waits until the
// leader of the existing group adds it.
package boot
