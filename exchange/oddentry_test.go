package exchange_test

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// oddUpstreams returns upstreams that only older builds take from a store.
func oddUpstreams(h registry.Host) map[string]*registry.Upstream {
	list := make(map[string]*registry.Upstream)
	for name, change := range map[string]func(*registry.Upstream){
		"slots":   func(u *registry.Upstream) { u.Slots = 1 << 31 },
		"warmup":  func(u *registry.Upstream) { u.Warmup = -1 << 63 },
		"born":    func(u *registry.Upstream) { u.StartedAt = 1<<63 - 1 },
		"port":    func(u *registry.Upstream) { u.Address.Port = 0 },
		"host":    func(u *registry.Upstream) { u.Address.Host = registry.Host{224, 0, 0, 1} },
		"release": func(u *registry.Upstream) { u.Release = "v\xe9" },
		"zone":    func(u *registry.Upstream) { u.DataCentre = "\xff" },
		"service": func(u *registry.Upstream) { u.Service = strings.Repeat("x", 300_000) },
	} {
		u := &registry.Upstream{ID: name, Service: service, Address: registry.Endpoint{Host: h, Port: 80}, DataCentre: "a", Slots: 2}
		change(u)
		list[name] = u
	}
	return list
}

// listed reports whether the view has an upstream of the service on a host.
func (p *process) listed(h registry.Host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil {
		return false
	}
	_, found := p.fleet.Snapshot.Member(registry.HashService(service), h)
	return found
}

// TestRelayedOddUpstreamIsLeftOut guards against an odd upstream that an older build relays:
// it must not be taken, nor make the list or the routes of that build unusable.
func TestRelayedOddUpstreamIsLeftOut(t *testing.T) {
	reachable, unreachable := new(memoryStore), &memoryStore{down: true}
	reachable.set(3, hostOf(3), hostOf(4))
	for name, u := range oddUpstreams(hostOf(5)) {
		reachable.content.Changes = append(reachable.content.Changes, registry.Change{Key: name, Revision: 3, Upstream: u})
	}
	older := func(cfg exchange.Config) exchange.Config { return cfg.WithNewest(membership.Format1) }
	start(t, 2, membership.Balancer, unreachable, 0)
	startWith(t, "a", 1, membership.Balancer, reachable, 0, older)
	puller := start(t, 3, membership.Sidecar, unreachable, 0)
	await(t, "the routes and the other upstreams arrive", func() bool {
		return puller.version() == 3 && puller.listed(hostOf(3)) && puller.listed(hostOf(4))
	})
	must.False(t, puller.listed(hostOf(5)))
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, 1, strings.Count(puller.log.String(), `"msg":"entry-unusable"`), must.Sprint("one line for one update"))
	must.StrContains(t, puller.log.String(), `"omitted":7`)
}

// TestRelayedOddRoutesAreLeftOut guards against routes that an older build relays and this
// one rejects: upstreams must still arrive, and the routes must not be pulled over and over.
func TestRelayedOddRoutesAreLeftOut(t *testing.T) {
	reachable, unreachable := new(memoryStore), &memoryStore{down: true}
	reachable.set(3, hostOf(3))
	reachable.content.Routes.List = []registry.Route{{Name: "r"}}
	start(t, 1, membership.Balancer, reachable, 0)
	puller := start(t, 3, membership.Sidecar, unreachable, 0)
	await(t, "the upstreams arrive", func() bool { return puller.listed(hostOf(3)) })
	time.Sleep(time.Second)
	must.Eq(t, 0, puller.version())
	must.Eq(t, 1, strings.Count(puller.log.String(), `"msg":"entry-unusable"`))
	must.StrNotContains(t, puller.log.String(), `"msg":"pull-failed"`)
	reachable.set(4, hostOf(3))
	await(t, "the next version arrives", func() bool { return puller.version() == 4 })
}

// addLongEntries adds entries within all limits that are longer than one frame together.
func (m *memoryStore) addLongEntries() {
	r := rand.New(rand.NewPCG(1, 2))
	name := func() string {
		b := make([]byte, registry.MaxNameSize)
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		return string(b)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range 5_000 {
		id := name()
		m.content.Changes = append(m.content.Changes, registry.Change{Key: id, Revision: m.content.State.Revision, Upstream: &registry.Upstream{
			ID: id, Service: name(), DataCentre: name(), Release: name(), Slots: 1,
			Address: registry.Endpoint{Host: registry.Host{10, 1, byte(i >> 8), byte(i)}, Port: 80},
		}})
	}
}

// TestListBeyondOneFrame guards against a list that no peer can send in one frame: a process
// that starts must read the store itself, and one that has the list must follow it.
func TestListBeyondOneFrame(t *testing.T) {
	store := new(memoryStore)
	store.set(3, hostOf(3))
	store.addLongEntries()
	start(t, 1, membership.Balancer, store, 0)
	puller := start(t, 3, membership.Sidecar, store, 0)
	await(t, "the list is read", func() bool { return puller.version() == 3 && puller.listed(hostOf(3)) })
	must.StrContains(t, puller.log.String(), `"msg":"pull-failed"`)
	calls := store.countCalls()
	time.Sleep(2 * time.Second)
	must.LessEq(t, 3, store.countCalls()-calls, must.Sprint("reads of the store when nothing changed"))
	store.set(4, hostOf(3), hostOf(4))
	await(t, "the next list arrives", func() bool { return puller.version() == 4 && puller.listed(hostOf(4)) })
}

func (m *memoryStore) countCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// TestEntryInAnotherDataCentre guards against an entry of another writer that moves a live
// upstream to another data centre: searches would not find its flows.
func TestEntryInAnotherDataCentre(t *testing.T) {
	store := new(memoryStore)
	store.set(3, hostOf(3))
	odd := *store.content.Changes[0].Upstream
	odd.ID, odd.DataCentre, odd.StartedAt = "odd", "mars", 1
	store.content.Changes = append(store.content.Changes, registry.Change{Key: "odd", Revision: 3, Upstream: &odd})
	balancer := start(t, 1, membership.Balancer, store, 0)
	sidecar := start(t, 3, membership.Sidecar, store, 0)
	for _, p := range []*process{balancer, sidecar} {
		await(t, "the upstream is in the data centre of its sidecar", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.fleet == nil {
				return false
			}
			m, found := p.fleet.Snapshot.Member(registry.HashService(service), hostOf(3))
			return found && m.ID == "odd" && m.DataCentre == "a"
		})
	}
}

// TestOddMessagesDoNotEndProcess guards against datagrams and frames that end the process
// which receives them, or after which it answers nobody. A stack overflow cannot be
// recovered from.
func TestOddMessagesDoNotEndProcess(t *testing.T) {
	store := new(memoryStore)
	store.set(3, hostOf(3))
	receiver := start(t, 1, membership.Balancer, store, 0)
	to := netip.AddrPortFrom(hostOf(1).Addr(), port)
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	const maxDatagram = 65_000
	for k := range 256 {
		for _, body := range [][]byte{
			nil,
			bytes.Repeat([]byte{0x91}, maxDatagram),
			bytes.Repeat([]byte{0x81, 0xa1, 'x'}, maxDatagram/3),
			append([]byte("\x81\xa1x"), bytes.Repeat([]byte{0x91}, maxDatagram)...),
			append([]byte("\x81\xa7reports\xdd\xff\xff\xff\xff"), bytes.Repeat([]byte{0xc0}, maxDatagram)...),
			bytes.Repeat([]byte{0xff}, maxDatagram),
		} {
			_, _ = conn.Write(append([]byte{byte(k)}, body...)) // a full buffer of the receiver is no fault
		}
	}
	for _, body := range [][]byte{
		bytes.Repeat([]byte{0x91}, 30<<20),
		bytes.Repeat([]byte{0x81, 0xa1, 'x'}, 10<<20),
		append([]byte("\x81\xa1v"), bytes.Repeat([]byte{0x91}, 30<<20)...),
		make([]byte, 64<<20),
		[]byte("\x82\xa1v\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xa1s\xa0"),
	} {
		c, err := net.DialTimeout("tcp4", to.String(), time.Second)
		must.NoError(t, err)
		_, _ = c.Write(compressedFrame(t, body)) // the receiver may close the connection first
		_, _ = io.Copy(io.Discard, c)            // until it does
		c.Close()
	}
	puller := start(t, 3, membership.Sidecar, &memoryStore{down: true}, 0)
	await(t, "the receiver answers", func() bool { return puller.version() == 3 && puller.listed(hostOf(3)) })
	must.Eq(t, 3, receiver.version())
}

// compressedFrame returns a frame with a body that is no message.
func compressedFrame(t *testing.T, body []byte) []byte {
	t.Helper()
	var buf bytes.Buffer
	fw, err := flate.NewWriter(&buf, flate.BestSpeed)
	must.NoError(t, err)
	_, err = fw.Write(body)
	must.NoError(t, err)
	must.NoError(t, fw.Close())
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

// storeWithLongHistory is a store whose watches never return in time.
type storeWithLongHistory struct{ memoryStore }

func (s *storeWithLongHistory) Watch(context.Context, registry.State) (registry.Update, error) {
	return registry.Update{}, context.DeadlineExceeded
}

// TestListIsReadWhenWatchesFail guards against a process that no longer follows the store
// because the changes that it lacks are too many for a watch.
func TestListIsReadWhenWatchesFail(t *testing.T) {
	store := new(storeWithLongHistory)
	store.set(3, hostOf(3))
	b := start(t, 1, membership.Balancer, store, 0)
	await(t, "the first list is read", func() bool { return b.version() == 3 })
	store.set(4, hostOf(3), hostOf(4))
	await(t, "the next list is read", func() bool { return b.version() == 4 && b.listed(hostOf(4)) })
}
