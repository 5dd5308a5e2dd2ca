// Package corianderbay is the root of a layer-4 load balancer: balancers take
// callers' packets from a fabric and forward them to sidecars, which own the
// flows of the upstreams beside them.
//
// The programs are in cmd, runnable examples in examples. To read the code,
// start with packages flow and route, which decide, and then balancer and
// sidecar, which act. docs/ARCHITECTURE.md says what imports what.
package corianderbay
