package operator_test

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/netip"
	"testing"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

func TestServer(t *testing.T) {
	vars := new(expvar.Map).Init()
	vars.Add("forwarded", 3)
	status := operator.Status{Process: "entry-1", Role: "balancer", Version: 4, Ready: true}
	s, err := operator.Open(operator.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Status: func() operator.Status { return status },
		Vars:   vars,
		Log:    event.New(event.Config{}),
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	defer wg.Wait()
	defer cancel()

	var got operator.Status
	must.Eq(t, http.StatusOK, get(t, s, "/status", &got))
	must.Eq(t, status, got)
	var counts map[string]int
	must.Eq(t, http.StatusOK, get(t, s, "/debug/vars", &counts))
	must.Eq(t, map[string]int{"forwarded": 3}, counts)
	var health operator.Health
	must.Eq(t, http.StatusOK, get(t, s, "/health", &health))
	must.True(t, health.Ready)
}

func TestHealthFailsUntilReady(t *testing.T) {
	s, err := operator.Open(operator.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Status: func() operator.Status { return operator.Status{} },
		Log:    event.New(event.Config{}),
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	var health operator.Health
	must.Eq(t, http.StatusServiceUnavailable, get(t, s, "/health", &health))
}

func get(t *testing.T, s *operator.Server, path string, v any) int {
	t.Helper()
	resp, err := http.Get("http://" + s.Address().String() + path)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.NoError(t, json.NewDecoder(resp.Body).Decode(v))
	return resp.StatusCode
}
