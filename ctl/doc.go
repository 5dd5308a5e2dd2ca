// Package ctl implements the commands of corianderctl, with which operators
// check, sign, compare and roll out bundles, create keys and query the status of
// processes.
//
// Start with NewCommand.
package ctl
