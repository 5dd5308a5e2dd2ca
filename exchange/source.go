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

// OldEraError reports an answer of an era that is over, as when it was late or
// came from a replica of the store that lags.
type OldEraError struct {
	Current registry.Era
	Got     registry.Era
}

// Error returns both eras.
func (e *OldEraError) Error() string {
	return fmt.Sprintf("the store answered as of era %d after era %d had begun", e.Got, e.Current)
}

// HistoryError reports that the store does not have the changes since a state.
type HistoryError struct {
	After registry.State
}

// Error returns the state.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the store has no history back to revision %s", e.After)
}
