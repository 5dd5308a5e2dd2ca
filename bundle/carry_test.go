package bundle_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// upstreams returns all upstreams of the bundle by "service/upstream".
func upstreams(b *bundle.Bundle) map[string]bundle.Upstream {
	all := make(map[string]bundle.Upstream)
	for _, s := range b.Services {
		for _, p := range s.Places {
			for _, u := range p.Upstreams {
				all[s.Name+"/"+u.Name] = u
			}
		}
	}
	return all
}

func TestCarryKeepsDroppedUpstreams(t *testing.T) {
	running := sample(1, 3)
	next := sample(2, 2)
	next.Services[0].Places = next.Services[0].Places[:1]
	next.DataCentres = next.DataCentres[:1]
	next.Services[1].Places = next.Services[1].Places[:1]
	got, err := bundle.Carry(running, next, bundle.CarryConfig{DrainedUpstreams: []string{"service-00002-0"}})
	must.NoError(t, err)
	all := upstreams(got)
	must.True(t, all["service-00000/service-00000-1"].Leaving)
	must.True(t, all["service-00002/service-00002-1"].Leaving)
	must.MapNotContainsKey(t, all, "service-00002/service-00002-0")
	must.False(t, all["service-00000/service-00000-0"].Leaving)
	must.Len(t, 2, got.DataCentres)
	must.Len(t, 2, next.Services, must.Sprint("the argument is not modified"))
}

func TestCarryRecordsFormerService(t *testing.T) {
	running := sample(1, 3)
	next := sample(2, 2)
	next.Services[0].Addresses = append(next.Services[0].Addresses, running.Services[2].Addresses...)
	got, err := bundle.Carry(running, next, bundle.CarryConfig{})
	must.NoError(t, err)
	must.Eq(t, "service-00002", got.Services[0].Addresses[1].Former)
	must.SliceEmpty(t, got.Services[2].Addresses)

	// The former service stays until the address is listed as drained.
	next.Sequence = 3
	later, err := bundle.Carry(got, next, bundle.CarryConfig{})
	must.NoError(t, err)
	must.Eq(t, "service-00002", later.Services[0].Addresses[1].Former)
	address := next.Services[0].Addresses[1].String()
	drained, err := bundle.Carry(got, next, bundle.CarryConfig{DrainedAddresses: []string{address}})
	must.NoError(t, err)
	must.Eq(t, "", drained.Services[0].Addresses[1].Former)

	movedAgain := sample(4, 2)
	movedAgain.Services[1].Addresses = append(movedAgain.Services[1].Addresses, running.Services[2].Addresses...)
	_, err = bundle.Carry(got, movedAgain, bundle.CarryConfig{})
	must.Eq(t, "service-00002", requireError[*bundle.FormerError](t, err).Former)
}

// TestCarryMovesAddressBack checks the former service of an address that moves to
// another service and back.
func TestCarryMovesAddressBack(t *testing.T) {
	first, moved := sample(1, 2), sample(2, 2)
	moved.Services[1].Addresses = append(moved.Services[1].Addresses, moved.Services[0].Addresses...)
	moved.Services[0].Addresses = nil
	moved, err := bundle.Carry(first, moved, bundle.CarryConfig{})
	must.NoError(t, err)
	must.Eq(t, "service-00000", moved.Services[1].Addresses[1].Former)
	back, err := bundle.Carry(moved, sample(3, 2), bundle.CarryConfig{})
	must.NoError(t, err)
	must.Eq(t, "service-00001", back.Services[0].Addresses[0].Former)
}

func TestCarryRefusesMoves(t *testing.T) {
	running := sample(1, 2)
	next := sample(2, 2)
	up := &next.Services[1].Places[0].Upstreams
	*up = append(*up, next.Services[0].Places[0].Upstreams...)
	next.Services[0].Places[0].Upstreams = nil
	_, err := bundle.Carry(running, next, bundle.CarryConfig{})
	move := requireError[*bundle.MoveError](t, err)
	must.Eq(t, "service-00000", move.From)
	must.Eq(t, "service-00001", move.To)
	_, err = bundle.Carry(running, next, bundle.CarryConfig{DrainedUpstreams: []string{"service-00000-0"}})
	must.NoError(t, err)

	next = sample(2, 2)
	next.Services[0].Places[0].Upstreams[0].Sidecar = sampleService(9).Places[0].Upstreams[0].Sidecar
	_, err = bundle.Carry(running, next, bundle.CarryConfig{})
	requireError[*bundle.MoveError](t, err)
}

func TestCarryKeepsEveryUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running, next := drawBundle(t), drawBundle(t)
		got, err := bundle.Carry(running, next, bundle.CarryConfig{})
		must.NoError(t, err)
		all, authored := upstreams(got), upstreams(next)
		for name, u := range upstreams(running) {
			want, ok := authored[name]
			if !ok {
				want = u
				want.Leaving = true
			}
			must.Eq(t, want, all[name])
		}
		must.NoError(t, bundle.Check(got))
	})
}

func TestRollbackIncrementsSequence(t *testing.T) {
	old, running := sample(3, 1), sample(8, 2)
	running.SignOff = policy(1, 2)
	got, err := bundle.Rollback(running, old, bundle.CarryConfig{})
	must.NoError(t, err)
	must.Eq(t, 9, got.Sequence)
	must.Eq(t, running.SignOff, got.SignOff)
	must.True(t, upstreams(got)["service-00001/service-00001-0"].Leaving)
	must.False(t, upstreams(got)["service-00000/service-00000-0"].Leaving)
}

func TestDiff(t *testing.T) {
	from, to := sample(1, 3), sample(2, 4)
	to.Services = slices.Delete(to.Services, 0, 1)
	s := &to.Services[0]
	s.Places[0].Upstreams[0].Weight = 50
	s.Places[1].Upstreams[0].Leaving = true
	s.Addresses[0].Port = 7001
	s.Limit.Rate = 1
	rank := func(shift int) bundle.Rank {
		return func(_ string, i int) []bundle.UpstreamID {
			return []bundle.UpstreamID{bundle.UpstreamID((i + shift*(i%4)) % 4)}
		}
	}
	got := bundle.Diff(from, to, bundle.DiffConfig{Old: rank(0), New: rank(1), Samples: 400})
	must.Eq(t, []string{"service-00003"}, got.Added)
	must.Eq(t, []string{"service-00000"}, got.Removed)
	must.Len(t, 3, got.Services)
	c := got.Services[1]
	must.Eq(t, []bundle.WeightChange{{Upstream: "service-00001-0", Old: 100, New: 50}}, c.Weights)
	must.Eq(t, []string{"service-00001-1"}, c.Leaving)
	must.Eq(t, []string{"udp 198.0.0.1:7001"}, c.Gained)
	must.Eq(t, []string{"udp 198.0.0.1:7000"}, c.Lost)
	must.True(t, c.Settings)
	must.Eq(t, "300 of 400", fmt.Sprintf("%d of %d", c.Moved, c.Sampled))
	must.True(t, bundle.Diff(from, sample(9, 3), bundle.DiffConfig{}).Empty())
}
