package edge

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
	"go.uber.org/zap/zapcore"
)

// synCodec is a Codec that decodes each datagram as the same SYN packet.
type synCodec struct{}

var testAddress = registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443}

func (synCodec) Decode(_ []byte, p *steer.Packet) error {
	*p = steer.Packet{Source: registry.Endpoint{Host: registry.Host{127, 0, 0, 1}, Port: 9}, Destination: testAddress, Flags: steer.SYN}
	return nil
}

func (synCodec) SetTag([]byte, uint32) {}

func (synCodec) AppendReset(b []byte, _ *steer.Packet) []byte { return append(b, "reset"...) }

// openIdleBalancer returns a balancer whose addresses are bound and that is not running.
func openIdleBalancer(t *testing.T) *Balancer {
	t.Helper()
	// The port is chosen for UDP and then used for TCP, so no other process may use the address.
	local := netip.MustParseAddrPort("127.88.7.1:0")
	b, err := OpenBalancer(BalancerConfig{
		Config: Config{
			DataCentre: "a", Exchange: local, CallerPort: 9, Codec: synCodec{},
			Timer: timer.New(timer.Config{}),
			Log:   event.NewJSON(zapcore.AddSync(io.Discard), zapcore.DebugLevel, "test"),
		},
		Callers: local,
	})
	must.NoError(t, err)
	return b
}

// fleetWith returns a fleet with one route and one live sidecar. listed determines
// whether the list of upstreams has the sidecar's upstream.
func fleetWith(b *Balancer, listed, recovering bool) *steer.Fleet {
	host := registry.Host{127, 0, 0, 2}
	d := registry.NewDirectory()
	d.Apply(0, registry.Update{Routes: &registry.Routes{Version: 1, List: []registry.Route{{
		Name: "r", Address: testAddress, Targets: []registry.Target{{Service: "s", Weight: 1}},
	}}}})
	u := registry.Update{State: registry.State{Revision: 5}, Whole: true}
	if listed {
		u.Changes = []registry.Change{{Key: "u", Revision: 4, Upstream: &registry.Upstream{
			ID: "u", Service: "s", Address: registry.Endpoint{Host: host, Port: 80}, DataCentre: "a", Slots: 2,
		}}}
	}
	d.Apply(0, u)
	f := &steer.Fleet{Snapshot: d.Snapshot(0), Recovering: recovering, Sidecars: map[registry.Host]steer.SidecarStatus{
		host: {DataCentre: "a", LastSeen: b.cfg.Timer.Uptime(), HeartbeatTimeout: time.Hour},
	}}
	f.Unlisted = f.Snapshot.Unlisted([]registry.Host{host})
	return f
}

// TestOpeningWaitsForExpiredEntry guards against refusing a SYN while a recovering list
// lacks the entry of a live upstream. The SYN must be held, forwarded once the entry is
// listed, and refused once the list has recovered without it or the SYN was held for maxHold.
func TestOpeningWaitsForExpiredEntry(t *testing.T) {
	cases := map[string]struct {
		listed, recovering, expired bool
		forwarded, refused          uint64
		held                        int
	}{
		"entry listed again":            {listed: true, recovering: true, forwarded: 1},
		"entry missing, recovering":     {recovering: true, held: 1},
		"entry missing, hold expired":   {recovering: true, expired: true, refused: 1},
		"entry missing, not recovering": {refused: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := openIdleBalancer(t)
			b.refresh(fleetWith(b, false, true))
			var p steer.Packet
			b.handlePacket([]byte("SYN"), &p, new(steer.Forward), nil)
			must.Eq(t, 1, b.held.len())
			if tc.expired {
				b.held.packets[0].since -= maxHold
			}
			b.refresh(fleetWith(b, tc.listed, tc.recovering))
			must.Eq(t, tc.held, b.held.len())
			must.Eq(t, tc.forwarded, b.counts.forwarded.Load())
			must.Eq(t, tc.refused, b.counts.refused[steer.ReasonNoUpstream].Load())
		})
	}
}
