package peer_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

const certificateLifetime = time.Hour

// fleet is a set of nodes on loopback with a stand-in for the platform.
type fleet struct {
	t           testing.TB
	timer       *timer.Service
	platform    *standin.Platform
	server      *httptest.Server
	dir         string // holds the certificates
	credentials peer.CredentialsConfig
	services    int // per bundle
	nodes       []*peer.Node
	cancels     []context.CancelFunc
	wg          conc.WaitGroup
	previous    *bundle.Frozen

	mu           sync.Mutex
	activated    map[uint64][]time.Time // when each sequence came into force, one entry per node
	lastSequence map[string]uint64      // in force, by node
	violations   []string
}

func newFleet(t testing.TB, count, services int) *fleet {
	f := &fleet{
		t: t, timer: timer.New(timer.Config{}), services: services, dir: t.TempDir(),
		platform:  standin.NewPlatform(standin.PlatformConfig{}),
		activated: make(map[uint64][]time.Time), lastSequence: make(map[string]uint64),
	}
	f.server = httptest.NewServer(f.platform.Handler())
	t.Cleanup(f.close)
	authority, err := peer.NewAuthority(f.timer.Now(), certificateLifetime)
	must.NoError(t, err)
	f.credentials = f.issue(authority, peer.FleetName)
	for i := range count {
		f.add(fmt.Sprintf("node-%02d", i), fmt.Sprintf("dc%d", i%2))
	}
	f.publishList()
	return f
}

func (f *fleet) issue(a *peer.Authority, name string) peer.CredentialsConfig {
	issued, err := a.Issue(name, f.timer.Now(), certificateLifetime)
	must.NoError(f.t, err)
	write := func(file string, b []byte) string {
		path := filepath.Join(f.dir, name+"-"+file)
		must.NoError(f.t, os.WriteFile(path, b, 0o600))
		return path
	}
	return peer.CredentialsConfig{
		Authority:   write("ca.pem", a.PEM()),
		Certificate: write("cert.pem", issued.Certificate),
		Key:         write("key.pem", issued.Key),
	}
}

// add starts a node with the current credentials files.
func (f *fleet) add(name, dataCentre string) *peer.Node {
	credentials, err := peer.LoadCredentials(f.credentials)
	must.NoError(f.t, err)
	n, err := peer.NewNode(peer.Config{
		Name: name, DataCentre: dataCentre, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Credentials: credentials, Anchor: policy(),
		Platform: configservice.NewClient(configservice.Config{Address: f.server.URL, Reader: name}),
		Rand:     rand.New(rand.NewPCG(uint64(len(f.nodes)), 7)),
		OnBundle: func(b *bundle.Bundle, _ bundle.Hash) { f.recordBundle(name, b.Sequence) },
	})
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.nodes, f.cancels = append(f.nodes, n), append(f.cancels, cancel)
	f.wg.Go(func() { _ = n.Run(ctx) })
	return n
}

func (f *fleet) recordBundle(name string, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sequence <= f.lastSequence[name] {
		f.violations = append(f.violations, fmt.Sprintf("%s went from %d to %d", name, f.lastSequence[name], sequence))
	}
	f.lastSequence[name] = sequence
	f.activated[sequence] = append(f.activated[sequence], f.timer.Now())
}

func (f *fleet) publishList() {
	f.platform.SetInstances(f.instances())
}

func (f *fleet) instances() []configservice.Instance {
	var list []configservice.Instance
	for i, n := range f.nodes {
		list = append(list, configservice.Instance{
			Name: fmt.Sprintf("node-%02d", i), DataCentre: fmt.Sprintf("dc%d", i%2),
			Role: configservice.RoleBalancer, Control: n.Address(), State: configservice.StateLive,
		})
	}
	return list
}

// publish publishes the next bundle and returns its sequence.
func (f *fleet) publish() uint64 {
	f.previous = signed(f.t, sequenceAfter(f.previous), f.services, f.previous)
	pub, err := configservice.NewPublication(peer.BundleValueName, f.previous)
	must.NoError(f.t, err)
	f.platform.Publish(pub)
	return f.previous.Sequence()
}

// awaitBundle waits until each node is ready and has the sequence or a higher one in force.
func (f *fleet) awaitBundle(sequence uint64, nodes ...*peer.Node) {
	f.t.Helper()
	tick := f.timer.Every(10 * time.Millisecond)
	defer tick.Stop()
	limit := f.timer.After(time.Minute)
	defer limit.Stop()
	for _, n := range nodes {
		for s := n.Status(); s.InForce.Sequence < sequence || s.State != converge.StateReady; s = n.Status() {
			select {
			case <-tick.C:
			case <-limit.C:
				f.t.Fatalf("timeout waiting for sequence %d: %+v", sequence, s)
			}
		}
	}
}

func (f *fleet) close() {
	for _, stop := range f.cancels {
		stop()
	}
	f.wg.Wait()
	f.server.Close()
	must.SliceEmpty(f.t, f.violations)
}

func sequenceAfter(f *bundle.Frozen) uint64 {
	if f == nil {
		return 1
	}
	return f.Sequence() + 1
}

func approverKey() ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
}

func policy() bundle.SignOff {
	return bundle.SignOff{Need: 1, Approvers: []bundle.Approver{{Name: "adi", Key: bundle.PublicKey(approverKey())}}}
}

// signed returns a signed bundle in which one service, selected by the sequence, is changed.
func signed(t testing.TB, sequence uint64, services int, previous *bundle.Frozen) *bundle.Frozen {
	b := &bundle.Bundle{
		Sequence: sequence, SignOff: policy(),
		DataCentres: []bundle.DataCentre{{Name: "dc0", Callers: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}},
	}
	for i := range services {
		b.Services = append(b.Services, service(i, 100))
	}
	changed := int(sequence) % services
	b.Services[changed] = service(changed, 101+int(sequence)%800)
	f, err := bundle.Freeze(b)
	must.NoError(t, err)
	if previous != nil {
		f, err = f.WithPrevious(previous)
		must.NoError(t, err)
	}
	f, err = bundle.Sign(f, "adi", approverKey())
	must.NoError(t, err)
	return f
}

func service(i, weight int) bundle.Service {
	address := func(first byte) netip.Addr {
		return netip.AddrFrom4([4]byte{first, byte(i >> 16), byte(i >> 8), byte(i)})
	}
	s := bundle.Service{
		Name:      fmt.Sprintf("service-%04d", i),
		Addresses: []bundle.Address{{IP: address(100), Port: 443, Protocol: "tcp"}},
		Rules:     []bundle.Rule{{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true}},
		Places:    []bundle.Place{{DataCentre: "dc0"}},
	}
	for u := range 2 {
		s.Places[0].Upstreams = append(s.Places[0].Upstreams, bundle.Upstream{
			Name: fmt.Sprintf("upstream-%04d-%d", i, u), Weight: weight,
			Sidecar: netip.AddrPortFrom(address(20+byte(u)), 6081),
		})
	}
	return s
}
