// Package converge contains the decision logic by which all processes converge
// on the same bundle and the same instance list: which peers a process connects
// to, whether it reads the platform, which documents it fetches from which
// source, when a version comes into force, and whether the process is ready.
//
// It performs no I/O and reads no clock: a Member receives typed inputs with the
// time and returns typed outputs for its caller to execute, such as peer.Node.
// Start with Member.Update.
package converge
