// Package corianderbay is the root of a layer-4 load balancer: balancers receive
// callers' packets from a fabric and forward them to sidecars, each of which owns
// the flows of its upstream.
//
// The programs are in cmd, runnable examples in examples. To read the code,
// start with packages flow and route, which make the decisions without I/O, and
// then balancer and sidecar, which execute them. docs/ARCHITECTURE.md lists the
// packages and their imports.
package corianderbay
