// Package converge decides how every process comes to hold the same bundle and
// the same instance list: which peers it talks to, whether it reads the
// platform, what it fetches from whom, when a version comes into force, and
// whether the process knows enough to act.
//
// It opens no sockets and reads no clock: a Member takes typed inputs with the
// time and returns typed outputs that an edge carries out. Start with
// Member.Update.
package converge
