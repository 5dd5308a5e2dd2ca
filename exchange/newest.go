//go:build !formatone

package exchange

import "github.com/corianderbay/corianderbay/membership"

// newestFormat is the newest version of the messages that this build reads and sends.
const newestFormat = membership.Format2
