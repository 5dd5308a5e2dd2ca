// Package ctl is the command line of the program corianderctl, with which
// operators check, sign, compare and roll bundles, make keys and ask processes
// for their status.
//
// Start with NewCommand.
package ctl
