package configservice_test

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
)

func instance(name string) configservice.Instance {
	return configservice.Instance{
		Name: name, Role: configservice.RoleSidecar, DataCentre: "semarang",
		Control: netip.MustParseAddrPort("127.0.0.1:7000"), State: configservice.StateLive,
	}
}

func newClient(t *testing.T, reader string) (*configservice.Client, *standin.Platform) {
	t.Helper()
	p := standin.NewPlatform(standin.PlatformConfig{})
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)
	c := configservice.NewClient(configservice.Config{Address: s.URL, Reader: reader, Wait: 50 * time.Millisecond})
	t.Cleanup(c.Close)
	return c, p
}

func TestReadAndWatch(t *testing.T) {
	c, p := newClient(t, "a")
	_, err := c.Read(t.Context(), "bundle")
	var missing *configservice.NotFoundError
	must.True(t, errors.As(err, &missing))

	p.SetValue("bundle", []byte("one"))
	v, err := c.Read(t.Context(), "bundle")
	must.NoError(t, err)
	must.Eq(t, "one", string(v.Body))

	_, changed, err := c.Watch(t.Context(), "bundle", v.Index)
	must.NoError(t, err)
	must.False(t, changed)

	p.SetValue("bundle", []byte("two"))
	v, changed, err = c.Watch(t.Context(), "bundle", v.Index)
	must.NoError(t, err)
	must.True(t, changed)
	must.Eq(t, "two", string(v.Body))
	must.Eq(t, uint64(4), p.Counts().Calls)
	must.Eq(t, uint64(2), p.Counts().Watches)
	must.Eq(t, uint64(4), c.Counts().Calls)
}

func TestInstances(t *testing.T) {
	c, p := newClient(t, "a")
	p.SetInstances([]configservice.Instance{instance("s1"), instance("s2")})
	l, changed, err := c.WatchInstances(t.Context(), 0)
	must.NoError(t, err)
	must.True(t, changed)
	must.Eq(t, 2, len(l.Instances))

	p.SetInstances([]configservice.Instance{instance("s1"), instance("s1")})
	_, err = c.Instances(t.Context())
	var bad *configservice.InstanceError
	must.True(t, errors.As(err, &bad))
	must.Eq(t, "s1", bad.Name)
}

func TestPlatformFaults(t *testing.T) {
	a, p := newClient(t, "a")
	p.SetValue("bundle", []byte("one"))
	p.SetFault("a", standin.PlatformFault{Stale: true})
	p.SetValue("bundle", []byte("two"))
	v, err := a.Read(t.Context(), "bundle")
	must.NoError(t, err)
	must.Eq(t, "one", string(v.Body))

	p.SetFault("a", standin.PlatformFault{Down: true})
	_, err = a.Read(t.Context(), "bundle")
	var down *configservice.UnreachableError
	must.True(t, errors.As(err, &down))

	p.SetFault("a", standin.PlatformFault{})
	v, err = a.Read(t.Context(), "bundle")
	must.NoError(t, err)
	must.Eq(t, "two", string(v.Body))
}

// published returns a signed bundle with the given number of services. The first
// service differs between even and odd sequence numbers.
func published(t *testing.T, sequence uint64, services int, previous *bundle.Frozen) *bundle.Frozen {
	t.Helper()
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	b := &bundle.Bundle{
		Sequence: sequence,
		SignOff:  bundle.SignOff{Need: 1, Approvers: []bundle.Approver{{Name: "a", Key: bundle.PublicKey(key)}}},
	}
	for i := range services {
		b.Services = append(b.Services, bundle.Service{Name: fmt.Sprintf("service-%04d", i)})
	}
	b.Services[0].Idempotent = sequence%2 == 0
	f, err := bundle.Freeze(b)
	must.NoError(t, err)
	if previous != nil {
		f, err = f.WithPrevious(previous)
		must.NoError(t, err)
	}
	f, err = bundle.Sign(f, "a", key)
	must.NoError(t, err)
	return f
}

func TestPublication(t *testing.T) {
	c, p := newClient(t, "a")
	f := published(t, 7, 2000, nil)
	pub, err := configservice.NewPublication("bundle", f)
	must.NoError(t, err)
	must.Greater(t, 2, len(pub.Parts))

	p.SetValue(pub.Head.Name, pub.Head.Body)
	_, err = c.ReadBundle(t.Context(), pub.Head, nil)
	var missing *configservice.NotFoundError
	must.True(t, errors.As(err, &missing))

	p.Publish(pub)
	got, err := c.ReadBundle(t.Context(), pub.Head, nil)
	must.NoError(t, err)
	must.Eq(t, uint64(7), got.Sequence())
	must.Eq(t, f.Hash(), got.Hash())

	p.SetValue(pub.Parts[1].Name, []byte("other"))
	_, err = c.ReadBundle(t.Context(), pub.Head, nil)
	var part *bundle.PartError
	must.True(t, errors.As(err, &part))
	must.Eq(t, pub.Parts[1].Name, "bundle."+part.Want.String())

	_, err = c.ReadBundle(t.Context(), configservice.Value{Name: "bundle", Body: []byte("whole")}, nil)
	var broken *configservice.BundleError
	must.True(t, errors.As(err, &broken))
}

// TestReadBundleFetchesOnlyChangedParts checks that a change of one service takes one call.
func TestReadBundleFetchesOnlyChangedParts(t *testing.T) {
	c, p := newClient(t, "a")
	base := published(t, 7, 2000, nil)
	next := published(t, 8, 2000, base)
	pub, err := configservice.NewPublication("bundle", next)
	must.NoError(t, err)
	p.Publish(pub)
	before := p.Counts()
	got, err := c.ReadBundle(t.Context(), pub.Head, base)
	must.NoError(t, err)
	must.Eq(t, next.Hash(), got.Hash())
	must.Eq(t, uint64(1), p.Counts().Calls-before.Calls)
}

func TestOversizedValue(t *testing.T) {
	c, p := newClient(t, "a")
	p.SetValue("bundle", make([]byte, configservice.MaxValueSize+1))
	_, err := c.Read(t.Context(), "bundle")
	var size *configservice.SizeError
	must.True(t, errors.As(err, &size))
}

func TestAdmin(t *testing.T) {
	c, p := newClient(t, "a")
	admin := httptest.NewServer(p.AdminHandler())
	defer admin.Close()
	put := func(path, body string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, admin.URL+path, strings.NewReader(body))
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	f := published(t, 3, 1, nil)
	raw, err := f.Marshal()
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, put("/admin/publications/bundle", string(raw)))
	must.Eq(t, http.StatusBadRequest, put("/admin/publications/bundle", "whole"))
	must.Eq(t, http.StatusBadRequest, put("/admin/instances", `[{"name":"x"}]`))
	head, err := c.Read(t.Context(), "bundle")
	must.NoError(t, err)
	got, err := c.ReadBundle(t.Context(), head, nil)
	must.NoError(t, err)
	must.Eq(t, f.Hash(), got.Hash())
}

func TestBackoffGrowsToMax(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	b := configservice.Backoff{Base: time.Second, Max: 8 * time.Second}
	for _, bound := range []time.Duration{1, 2, 4, 8, 8} {
		d := b.Next(r)
		must.Between(t, bound*time.Second/2, d, bound*time.Second)
	}
	b.Reset()
	must.LessEq(t, time.Second, b.Next(r))
}
