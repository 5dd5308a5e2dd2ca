package steer_test

import (
	"encoding/binary"
	"errors"
	"testing"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

func TestHeaderRoundTrip(t *testing.T) {
	want := steer.Header{
		Balancer:    registry.Host{10, 1, 0, 9},
		Service:     registry.HashService("fitting"),
		Version:     1 << 40,
		State:       registry.State{Era: 3, Revision: 77},
		Pinned:      true,
		UnknownFlow: true,
		Visited:     []registry.Host{{10, 1, 0, 1}, {10, 2, 0, 1}},
	}
	raw := append(want.Append(nil), "packet"...)
	must.Eq(t, want.Size()+len("packet"), len(raw))
	var got steer.Header
	rest, err := got.Parse(raw)
	must.NoError(t, err)
	must.Eq(t, "packet", string(rest))
	must.Eq(t, want, got)
	must.Eq(t, 3, len(got.WithVisited(registry.Host{1}).Visited))
	must.Eq(t, 2, len(got.Visited))
}

// FuzzHeader checks that parsing never panics, and that a parsed header can be encoded
// in the same number of bytes and parsed again.
func FuzzHeader(f *testing.F) {
	h := steer.Header{Visited: []registry.Host{{1, 2, 3, 4}}}
	f.Add(h.Append(nil))
	f.Add([]byte{0, 255})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h steer.Header
		rest, err := h.Parse(raw)
		if err != nil {
			var bad *steer.HeaderError
			must.True(t, errors.As(err, &bad))
			return
		}
		var again steer.Header
		_, err = again.Parse(h.Append(nil))
		must.NoError(t, err)
		must.Eq(t, len(raw)-len(rest), h.Size())
	})
}

// TestBuildsWithoutPinnedTakeVersionForNewer checks what a build before Header.Pinned reads: a
// version that is newer than any of its own, so that its routes do not decide on the opening.
func TestBuildsWithoutPinnedTakeVersionForNewer(t *testing.T) {
	const offVersion = 12
	h := steer.Header{Version: 7, Pinned: true}
	raw := h.Append(nil)
	must.Eq(t, 1<<63+7, binary.BigEndian.Uint64(raw[offVersion:]))
	h.Pinned = false
	must.Eq(t, 7, binary.BigEndian.Uint64(h.Append(nil)[offVersion:]))
	var got steer.Header
	_, err := got.Parse(raw)
	must.NoError(t, err)
	must.Eq(t, 7, got.Version)
	must.True(t, got.Pinned)
}

func TestKeyRoundTrip(t *testing.T) {
	want := flowKey(300)
	must.Eq(t, want, steer.ParseKey(want.Append(nil)))
}
