// Package admit decides whether a new flow is admitted while a service is
// overloaded: which routes go first, and what each caller prefix may use.
//
// It uses no sockets, clock or random source: the current time is an argument,
// and so are the loads of upstreams. Detector detects overload from the wait
// that never goes away. Controller decides on openings, and never on packets of
// open flows. Start with Controller.Observe and Controller.Decide.
package admit
