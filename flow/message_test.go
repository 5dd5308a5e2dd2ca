package flow_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// FuzzMessages decodes bytes as each message between sidecars and balancers, and
// checks that every decoded message passes its Check.
func FuzzMessages(f *testing.F) {
	for _, m := range []forward.Message{
		&flow.OwnerHints{Owner: 1, Flows: []flow.Key{testKey(flow.TCP, 1, fitting)}},
		&flow.PeerReport{Upstream: 1, Service: fitting, Version: 2, Highest: 3, Oldest: 1, LivePeers: []bundle.UpstreamID{2}},
		&flow.SilenceReport{Upstreams: []bundle.UpstreamID{3}},
	} {
		body, err := forward.EncodeMessage(m)
		must.NoError(f, err)
		f.Add(body)
	}
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, m := range []forward.Message{&flow.OwnerHints{}, &flow.PeerReport{}, &flow.SilenceReport{}} {
			if forward.DecodeMessage(body, m) == nil {
				must.NoError(t, m.Check())
			}
		}
	})
}

// TestOversizedListLengthIsRejected checks that a message of 12 bytes that declares
// a list of 2^32-1 flows is rejected.
func TestOversizedListLengthIsRejected(t *testing.T) {
	body := []byte{0x81, 0xa5, 'f', 'l', 'o', 'w', 's', 0xdd, 0xff, 0xff, 0xff, 0xff}
	var m flow.OwnerHints
	must.ErrorAs[*forward.HeaderError](t, forward.DecodeMessage(body, &m), new(*forward.HeaderError))
}
