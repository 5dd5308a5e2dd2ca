// Package rotation decides whether a balancer takes part in the rotation of the routers,
// which give equal shares of the packets to all balancers of a data centre that are
// ready. A balancer whose link is much smaller than those of others becomes saturated
// first, and loses the packets of all routes alike. It then stands by, so that the
// larger ones take its share.
//
// Start with Rotation.Update.
package rotation
