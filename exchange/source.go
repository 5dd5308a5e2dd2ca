package exchange

import (
	"context"
	"fmt"

	"github.com/corianderbay/corianderbay/registry"
)

// Source reads the store in which routes and upstreams are published.
type Source interface {
	// Read returns all routes and upstreams.
	Read(ctx context.Context) (registry.Update, error)
	// Watch returns the changes after a state. It waits for a change for about a
	// second at most. It returns *HistoryError when the store no longer has the
	// changes since that state. An update of another era cannot be applied to
	// the state; the caller must call Read next.
	Watch(ctx context.Context, after registry.State) (registry.Update, error)
}

// OldEraError reports an update of an era before the current one. Such an update
// arrives late or comes from a lagging replica of the store.
type OldEraError struct {
	Current registry.Era
	Got     registry.Era
}

// Error returns both eras.
func (e *OldEraError) Error() string {
	return fmt.Sprintf("store returned an update of era %d, but the current era is %d", e.Got, e.Current)
}

// HistoryError reports that the store no longer has the changes since a state.
type HistoryError struct {
	After registry.State
}

// Error returns the state.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("store has no change history since revision %s", e.After)
}
