package exchange

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// incompressible returns a text of n bytes.
func incompressible(n int) string {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(b) // never fails
	return string(b)
}

// TestUpdateBeyondFrame guards against an answer that its receiver reads in part, or takes
// for one of an older build that closed the connection.
func TestUpdateBeyondFrame(t *testing.T) {
	withKeys := func(n int, key string) registry.Update {
		u := registry.Update{State: registry.State{Revision: 1}}
		for range n {
			u.Changes = append(u.Changes, registry.Change{Key: key, Revision: 1})
		}
		return u
	}
	scan := func(err error) bool { return errors.As(err, new(*wire.ScanError)) }
	frame := func(err error) bool { return errors.As(err, new(*FrameError)) }
	for name, c := range map[string]struct {
		update registry.Update
		want   func(error) bool
	}{
		"compressed": {withKeys(1, incompressible(maxFrameSize)), frame},
		"content":    {withKeys(40, strings.Repeat("x", 1<<20)), frame},
		"elements":   {withKeys(wire.MaxElements+1, "x"), scan},
	} {
		for _, f := range []membership.Format{membership.Format1, membership.Format2} {
			var buf bytes.Buffer
			must.True(t, c.want(writeFrame(&buf, f, c.update)), must.Sprint(name))
			must.Eq(t, prefixSize, buf.Len())
			_, err := readUpdate(&buf, membership.Format2)
			must.Eq(t, error(&FrameError{Length: maxPrefixLength}), err)
			must.True(t, unreadableAnswer(err))
		}
	}
	var buf bytes.Buffer
	must.NoError(t, writeFrame(&buf, membership.Format2, withKeys(1, incompressible(maxFrameSize/2))))
	_, err := readUpdate(&buf, membership.Format2)
	must.NoError(t, err)
}
