package exchange

import (
	"context"
	"fmt"

	"github.com/corianderbay/corianderbay/registry"
)

// Source is the store that routes and upstreams are published in. It is only read.
type Source interface {
	// Read returns all routes and upstreams.
	Read(ctx context.Context) (registry.Update, error)
	// Watch returns what changed after a state, at the latest after about a
	// second. It reports *HistoryError when the store no longer knows. An update of
	// another era does not follow on the state.
	Watch(ctx context.Context, after registry.State) (registry.Update, error)
}

// HistoryError reports that the store does not have the changes since a state.
type HistoryError struct {
	After registry.State
}

// Error returns the state.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the store has no history back to revision %s", e.After)
}
