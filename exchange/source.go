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
	// Watch returns what changed after a revision, at the latest after about a
	// second. It reports *HistoryError when the store no longer knows.
	Watch(ctx context.Context, after uint64) (registry.Update, error)
}

// HistoryError reports that the store no longer has the changes since a revision.
type HistoryError struct {
	After uint64
}

// Error returns the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the store has no history back to revision %d", e.After)
}
