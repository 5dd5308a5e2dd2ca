//go:build formatone

package exchange

import "github.com/corianderbay/corianderbay/membership"

// newestFormat is the newest version of the messages that this build reads and sends.
// The build tag formatone is for tests only: it makes the present code behave like commit
// 524ed58 towards other processes.
const newestFormat = membership.Format1
