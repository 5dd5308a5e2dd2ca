package exchange_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// TestBuildsInteroperate starts processes of both versions and checks that the list of
// upstreams, heartbeats and loads reach all of them, that two processes of version 2 come
// to send it to each other, and that a host that restarts in version 1 is read again.
func TestBuildsInteroperate(t *testing.T) {
	unreachable, m := &memoryStore{down: true}, new(memoryStore)
	m.set(3, hostOf(3), hostOf(4))
	first := startFormat(t, membership.Format2, 1, membership.Balancer, m)
	second := startFormat(t, membership.Format1, 2, membership.Balancer, unreachable)
	sidecars := []*process{
		startFormat(t, membership.Format2, 3, membership.Sidecar, unreachable),
		startFormat(t, membership.Format1, 4, membership.Sidecar, unreachable),
	}
	await(t, "all have version 3", func() bool {
		return first.version() == 3 && second.version() == 3 && sidecars[0].version() == 3 && sidecars[1].version() == 3
	})
	await(t, "both balancers receive the heartbeats of both sidecars", func() bool {
		return first.isAlive(hostOf(3)) && first.isAlive(hostOf(4)) && second.isAlive(hostOf(3)) && second.isAlive(hostOf(4))
	})
	await(t, "the processes of version 2 use it", func() bool {
		return first.node.Formats().Peers[2] == 1 && sidecars[0].node.Formats().Peers[2] == 1
	})
	must.Eq(t, 2, first.node.Formats().Peers[1])
	must.Eq(t, 3, second.node.Formats().Peers[1])

	sidecars[0].end(t)
	restarted := startFormat(t, membership.Format1, 3, membership.Sidecar, unreachable)
	await(t, "the restarted sidecar is alive at both balancers and receives updates", func() bool {
		return first.isAlive(hostOf(3)) && second.isAlive(hostOf(3)) && restarted.version() == 3 && first.node.Formats().Peers[1] == 3
	})
	m.set(4, hostOf(3))
	await(t, "all have version 4", func() bool {
		return second.version() == 4 && restarted.version() == 4 && sidecars[1].version() == 4
	})
	for _, p := range []*process{first, second, sidecars[0], sidecars[1], restarted} {
		must.StrNotContains(t, p.log.String(), "datagram-unusable")
		must.StrNotContains(t, p.log.String(), "peer-unreadable")
	}
}

// TestUnreadablePeer sends messages of unknown versions and kinds. They must not be taken
// for silence, and be logged once.
func TestUnreadablePeer(t *testing.T) {
	m := new(memoryStore)
	m.set(1, hostOf(2), hostOf(3))
	b := start(t, 1, membership.Balancer, m, 0)
	later, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(hostOf(3).Addr(), port)))
	must.NoError(t, err)
	t.Cleanup(func() { later.Close() })
	send := func(datagram string) {
		_, err := later.WriteToUDPAddrPort([]byte(datagram), netip.AddrPortFrom(hostOf(1).Addr(), port))
		must.NoError(t, err)
	}
	await(t, "the list is read", func() bool { return b.version() == 1 })
	for _, harmless := range []string{"\x27", "\x27abc", "\x2f", "\x09", "\x11\x81", "\x26\xc1", "\x22"} {
		send(harmless)
	}
	await(t, "the host is alive", func() bool {
		send("\x31\xc1")
		send("\xf4")
		return b.isAlive(hostOf(3)) && b.node.Formats().Unreadable == 1
	})
	f := b.node.Formats()
	must.Positive(t, f.UnreadableMessages[3])
	must.Positive(t, f.UnreadableMessages[15])
	must.Eq(t, 1, strings.Count(b.log.String(), "peer-unreadable"))

	offer, err := wire.Encode(&membership.FormatOffer{Oldest: 5, Newest: 6, Incarnation: 1})
	must.NoError(t, err)
	await(t, "the offer without a common version is counted", func() bool {
		send("\x26" + string(offer))
		return b.node.Formats().UnreadableMessages[5] > 0
	})

	conn, err := net.Dial("tcp4", netip.AddrPortFrom(hostOf(1).Addr(), port).String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte{7, 0, 0, 1, 0})
	must.NoError(t, err)
	await(t, "the pull of an unknown version is counted", func() bool { return b.node.Formats().UnreadableMessages[7] == 1 })
}

// TestRestartedHostIsPulledFromInVersionOne guards against pulls that fail because their
// host was replaced by an older build that has not sent anything yet.
func TestRestartedHostIsPulledFromInVersionOne(t *testing.T) {
	m := new(memoryStore)
	m.set(7)
	reader := startFormat(t, membership.Format2, 1, membership.Balancer, m)
	puller := startFormat(t, membership.Format2, 2, membership.Balancer, &memoryStore{down: true})
	await(t, "both use version 2", func() bool {
		return puller.version() == 7 && puller.node.Formats().Peers[2] == 1 && reader.node.Formats().Peers[2] == 1
	})
	reader.end(t)
	old := startFormat(t, membership.Format1, 1, membership.Balancer, m)
	await(t, "the older build has the list", func() bool { return old.version() == 7 })
	must.NoError(t, puller.node.PullFrom(t.Context(), membership.Format2, hostOf(1)))
	must.StrNotContains(t, puller.log.String(), "pull-failed")
}

// startFormat starts process n in data centre a with the newest version that it has.
func startFormat(t *testing.T, f membership.Format, n int, role membership.Role, source exchange.Source) *process {
	t.Helper()
	return startWith(t, "a", n, role, source, 0, func(cfg exchange.Config) exchange.Config {
		cfg.Incarnation += 256 * uint64(f) // a restart with another build has another incarnation
		return cfg.WithNewest(f)
	})
}

// end stops the process as an operator does, and waits until its address is free.
func (p *process) end(t *testing.T) {
	p.node.Stop(t.Context())
	p.stop()
	p.wait()
	await(t, "the address is free", func() bool {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(p.node.Self().Addr(), port).String())
		return err == nil && l.Close() == nil
	})
}
