// Package limit provides rate limits, bounded queues and retry budgets for
// balancers and sidecars.
//
// It uses no sockets, clock or global random source: the current time and the
// random source are arguments. FlowLimiter limits the new flows per service and
// caller prefix at a balancer. Queue holds the requests that wait for a slot of
// an upstream and is bounded by their deadlines. RetryBudget limits retries to
// a ratio of the first attempts. Start with FlowLimiter.Admit and Queue.Enqueue.
package limit
