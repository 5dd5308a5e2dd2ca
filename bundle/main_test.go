package bundle_test

import (
	"crypto/ed25519"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The defaults of rapid's flags, which mean that a flag is not set.
const (
	unsetSeed  = "0"
	unsetSteps = "30"
)

// TestMain sets a fixed seed and shorter runs for rapid unless flags set them, and
// disables the files of failed cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == unsetSeed {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.steps").Value.String() == unsetSteps {
		_ = flag.Set("rapid.steps", "12")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// keyOf returns the deterministic key with the number n.
func keyOf(n byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = n
	return ed25519.NewKeyFromSeed(seed)
}

// policy returns a sign-off policy that needs the given number of signatures. Its
// approvers are named a1, a2 and so on and have the keys of the same numbers.
func policy(need int, numbers ...byte) bundle.SignOff {
	s := bundle.SignOff{Need: need}
	for _, n := range numbers {
		s.Approvers = append(s.Approvers, bundle.Approver{
			Name: fmt.Sprintf("a%d", n),
			Key:  bundle.PublicKey(keyOf(n)),
		})
	}
	return s
}

// sample returns a valid bundle with the given number of services, each with two
// upstreams.
func sample(sequence uint64, services int) *bundle.Bundle {
	b := &bundle.Bundle{
		Sequence: sequence,
		SignOff:  policy(1, 1, 2),
		DataCentres: []bundle.DataCentre{
			{Name: "semarang", Callers: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}},
			{Name: "solo", Callers: []netip.Prefix{netip.MustParsePrefix("10.2.0.0/16")}},
		},
	}
	for i := range services {
		b.Services = append(b.Services, sampleService(i))
	}
	return b
}

func sampleService(i int) bundle.Service {
	name := fmt.Sprintf("service-%05d", i)
	s := bundle.Service{
		Name:      name,
		Addresses: []bundle.Address{{IP: sampleIP(198, i), Port: 7000, Protocol: "udp"}},
		Idle:      10 * time.Minute,
		Rules:     []bundle.Rule{{Callers: netip.MustParsePrefix("10.0.0.0/8"), Allow: true}},
		Limit:     bundle.Limit{Rate: 2000, Prefix: 50, Bits: 24},
		Objectives: []bundle.Objective{
			{Name: "whole", Measure: bundle.MeasureAnswers, Target: 0.999},
		},
	}
	for j, centre := range []string{"semarang", "solo"} {
		u := bundle.Upstream{
			Name:    fmt.Sprintf("%s-%d", name, j),
			Sidecar: netip.AddrPortFrom(sampleIP(byte(20+j), i), 4789),
			Weight:  100,
		}
		s.Places = append(s.Places, bundle.Place{DataCentre: centre, Upstreams: []bundle.Upstream{u}})
	}
	return s
}

func sampleIP(first byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{first, byte(i >> 16), byte(i >> 8), byte(i)})
}

// drawBundle draws a valid bundle.
func drawBundle(t *rapid.T) *bundle.Bundle {
	b := sample(rapid.Uint64Range(1, 1<<62).Draw(t, "sequence"), rapid.IntRange(0, 5).Draw(t, "services"))
	for i := range b.Services {
		s := &b.Services[i]
		s.Idempotent = rapid.Bool().Draw(t, "idempotent")
		s.Repeat = time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "repeat"))
		s.Limit.Rate = rapid.Float64Range(0.001, 1_000_000).Draw(t, "rate")
		u := &s.Places[0].Upstreams[0]
		u.Weight = rapid.IntRange(0, 1000).Draw(t, "weight")
		u.Leaving = rapid.Bool().Draw(t, "leaving")
	}
	return b
}

// freezeAndSign freezes b as the successor of prev, which may be nil, and signs it
// with the keys of the given numbers.
func freezeAndSign(t must.T, b *bundle.Bundle, prev *bundle.Frozen, numbers ...byte) *bundle.Frozen {
	f, err := bundle.Freeze(b)
	must.NoError(t, err)
	if prev != nil {
		f, err = f.WithPrevious(prev)
		must.NoError(t, err)
	}
	for _, n := range numbers {
		f, err = bundle.Sign(f, fmt.Sprintf("a%d", n), keyOf(n))
		must.NoError(t, err)
	}
	return f
}
