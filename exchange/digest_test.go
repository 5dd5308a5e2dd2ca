package exchange

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// TestDigestsFitEthernetPackets fills digests with reports of maximum size. A digest
// that needs IP fragments is lost as a whole with any one of them.
func TestDigestsFitEthernetPackets(t *testing.T) {
	const packet, headers = 1500, 28 // Ethernet payload, IP and UDP headers in bytes
	var peers []*membership.Peer
	for n := range 100 {
		peers = append(peers, &membership.Peer{Host: registry.Host{10, 255, 255, byte(n)}, Heartbeat: membership.Heartbeat{
			Role: membership.Sidecar, DataCentre: "twenty-bytes-of-name", Incarnation: 1 << 31, Sequence: 1 << 20,
			Version: 1 << 20, State: registry.State{Revision: 1 << 40}, Reading: true, Stopping: true,
			Load: membership.Load{Flows: 2000, Active: 2000, Busy: 1 << 20, Silent: true},
		}})
	}
	list := fillDigests(time.Hour, membership.Digest{DataCentre: "twenty-bytes-of-more", StoreAge: time.Hour}, peers)
	reports := 0
	for i := range list {
		raw, err := wire.Encode(&list[i])
		must.NoError(t, err)
		must.LessEq(t, packet-headers, len(raw))
		reports += len(list[i].Reports)
	}
	must.Eq(t, len(peers), reports)
}
