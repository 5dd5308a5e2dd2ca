package registry_test

import (
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// TestListsFitIntoMessages guards against routes that receivers of messages reject.
func TestListsFitIntoMessages(t *testing.T) {
	must.LessEq(t, wire.MaxElements, registry.MaxElements)
}
