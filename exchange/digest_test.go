package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// TestDigestsFitEthernetPackets fills digests of both versions with reports of maximum
// size. A digest that needs IP fragments is lost as a whole with any one of them.
func TestDigestsFitEthernetPackets(t *testing.T) {
	for _, f := range []membership.Format{membership.Format1, membership.Format2} {
		t.Run(fmt.Sprint(f), func(t *testing.T) { checkDigestSizes(t, f) })
	}
}

func checkDigestSizes(t *testing.T, f membership.Format) {
	const packet, headers = 1500, 28 // Ethernet payload, IP and UDP headers in bytes
	var peers []*membership.Peer
	for n := range 100 {
		peers = append(peers, &membership.Peer{Host: registry.Host{10, 255, 255, byte(n)}, Heartbeat: membership.Heartbeat{
			Role: membership.Sidecar, DataCentre: "twenty-bytes-of-name", Incarnation: 1 << 31, Sequence: 1 << 20,
			Version: 1 << 20, State: registry.State{Revision: 1 << 40}, Reading: true, Stopping: true,
			Load:   membership.Load{Flows: 2000, Active: 2000, Busy: 1 << 20, Silent: true, Work: 1 << 20, Window: 2000},
			Placed: 1 << 20, Lossy: true, Format: f,
		}})
	}
	first := membership.Digest{DataCentre: "twenty-bytes-of-more", StoreAge: time.Hour, FormerHash: 1 << 31, Incarnation: 1 << 31, Version: 1, State: registry.State{Revision: 1}}
	list := fillDigests(time.Hour, first.WithFormat(f), peers)
	reports := 0
	for i := range list {
		raw, err := encodeDatagram(&list[i], f)
		must.NoError(t, err)
		must.LessEq(t, packet-headers, len(raw))
		reports += len(list[i].Reports)
	}
	must.Eq(t, len(peers), reports)
}
