// Package limit bounds the work that balancers and sidecars take.
//
// It imports no sockets, no clock and no global randomness: the present time
// and the random source are arguments. A balancer holds Callers, which bounds
// new flows per caller prefix and service; a sidecar holds a Queue, which is
// bounded by the deadlines of what waits in it; both hold a Budget for their
// own retries. Start with Callers.Admit and Queue.Join.
package limit
