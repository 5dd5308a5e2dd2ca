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

// openings decodes each datagram as the same opening.
type openings struct{}

var waitingRoute = registry.Endpoint{Host: registry.Host{198, 18, 0, 1}, Port: 443}

func (openings) Decode(_ []byte, p *steer.Packet) error {
	*p = steer.Packet{Source: registry.Endpoint{Host: registry.Host{127, 0, 0, 1}, Port: 9}, Destination: waitingRoute, Flags: steer.SYN}
	return nil
}

func (openings) SetTag([]byte, uint32) {}

func (openings) AppendReset(b []byte, _ *steer.Packet) []byte { return append(b, "reset"...) }

// openWaiting returns a balancer that is bound and not running.
func openWaiting(t *testing.T) *Balancer {
	t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	b, err := OpenBalancer(BalancerConfig{
		Config: Config{
			DataCentre: "a", Exchange: local, CallerPort: 9, Codec: openings{},
			Timer: timer.New(timer.Config{}),
			Log:   event.NewJSON(zapcore.AddSync(io.Discard), zapcore.DebugLevel, "test"),
		},
		Callers: local,
	})
	must.NoError(t, err)
	return b
}

// fleetWith returns a view with one route, and a list with the upstream of its
// service or without, while the sidecar beside it lives.
func fleetWith(b *Balancer, listed, young bool) *steer.Fleet {
	host := registry.Host{127, 0, 0, 2}
	d := registry.NewDirectory()
	d.Apply(0, registry.Update{Routes: &registry.Routes{Version: 1, List: []registry.Route{{
		Name: "r", Address: waitingRoute, Targets: []registry.Target{{Service: "s", Weight: 1}},
	}}}})
	u := registry.Update{State: registry.State{Revision: 5}, Whole: true}
	if listed {
		u.Changes = []registry.Change{{Key: "u", Revision: 4, Upstream: &registry.Upstream{
			ID: "u", Service: "s", Address: registry.Endpoint{Host: host, Port: 80}, DataCentre: "a", Slots: 2,
		}}}
	}
	d.Apply(0, u)
	f := &steer.Fleet{Snapshot: d.Snapshot(0), Recovering: young, Sidecars: map[registry.Host]steer.SidecarStatus{
		host: {DataCentre: "a", LastSeen: b.cfg.Timer.Uptime(), HeartbeatTimeout: time.Hour},
	}}
	f.Unlisted = f.Snapshot.Unlisted([]registry.Host{host})
	return f
}

// TestSYNWaitsForLapsedEntry holds an opening while a young list lacks an
// upstream that lives. It goes on as soon as the entry is back, and is reset as
// soon as that is not to be expected any more, or took too long.
func TestSYNWaitsForLapsedEntry(t *testing.T) {
	cases := map[string]struct {
		listed, young, late bool
		forwarded, refused  uint64
		held                int
	}{
		"back":        {listed: true, young: true, forwarded: 1},
		"not yet":     {young: true, held: 1},
		"too late":    {young: true, late: true, refused: 1},
		"not to come": {refused: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := openWaiting(t)
			b.refresh(fleetWith(b, false, true))
			var p steer.Packet
			b.packet([]byte("opening"), &p, new(steer.Forward), nil)
			must.Eq(t, 1, b.held.len())
			if c.late {
				b.held.list[0].since -= holdFor
			}
			b.refresh(fleetWith(b, c.listed, c.young))
			must.Eq(t, c.held, b.held.len())
			must.Eq(t, c.forwarded, b.counts.forwarded.Load())
			must.Eq(t, c.refused, b.counts.refused[steer.ReasonNoUpstream].Load())
		})
	}
}
