// Package standin simulates the environment of the load balancer for tests, the
// demo and trials: the fabric, upstreams, callers and the platform. It uses
// sockets on the loopback interface only.
//
// Start with Fabric, Upstream and Caller: a Caller sends requests through a
// Fabric, which forwards each packet to a random balancer, and an Upstream
// answers them. Platform simulates the configuration service.
package standin
