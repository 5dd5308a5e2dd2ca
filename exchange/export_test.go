package exchange

import (
	"context"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
)

// WithNewest returns the configuration of a node that reads and sends no version later
// than f, as that of an older build.
func (c Config) WithNewest(f membership.Format) Config {
	c.newest = f
	return c
}

// PullFrom pulls from a host as one that is recorded as reading a version.
func (n *Node) PullFrom(ctx context.Context, f membership.Format, host registry.Host) error {
	return n.pullFrom(ctx, f, host, query{})
}
