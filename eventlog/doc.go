// Package eventlog reads the lines that processes logged and tells, in order,
// what happened to a flow or in a span of time: who took it, why there, what
// was known and how old that was, and what came of it.
//
// Start with Read and Select.
package eventlog
