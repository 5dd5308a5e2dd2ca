package standin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
)

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(b)
}

func TestUpstreamSheds(t *testing.T) {
	f, u := startPath(t, standin.FabricConfig{}, standin.UpstreamConfig{
		Service: "report", Slots: 1, Queue: 1, ServiceTime: 50 * time.Millisecond,
	})
	r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets(), Flows: 12, Attempts: 100})
	must.True(t, r.Clean())
	must.Positive(t, r.ShedAnswers)
	must.Eq(t, standin.Audit{Runs: 12}, standin.NewAudit(u.Runs(), nil))
}

func TestUpstreamExpires(t *testing.T) {
	f, u := startPath(t, standin.FabricConfig{}, standin.UpstreamConfig{Service: "report", Slots: 1, ServiceTime: 300 * time.Millisecond})
	r := runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets(), Flows: 4, MaxWait: time.Nanosecond, Attempts: 1})
	must.Eq(t, 4, r.Requests)
	must.Eq(t, r.Completed, len(u.Runs()))
	must.Eq(t, 4, r.Completed+r.Shed)
}

func TestUpstreamStatus(t *testing.T) {
	f, u := startPath(t, standin.FabricConfig{}, standin.UpstreamConfig{Service: "report", Name: "r1"})
	base := "http://" + u.StatusAddr().String()
	code, health := get(t, base+"/health")
	must.Eq(t, http.StatusOK, code)
	must.Eq(t, "up\n", health)
	u.SetOverride(standin.UpstreamOverride{Load: &standin.UpstreamLoad{Slots: 9}, Health: "down"})
	code, _ = get(t, base+"/health")
	must.Eq(t, http.StatusServiceUnavailable, code)
	_, load := get(t, base+"/load")
	must.Eq(t, `{"slots":9,"inuse":0,"queue":0,"connections":0}`+"\n", load)
	u.SetOverride(standin.UpstreamOverride{})
	resp, err := http.Post(base+"/leave", "", nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	_, health = get(t, base+"/health")
	must.Eq(t, "leaving\n", health)

	runCaller(t, standin.CallerConfig{LocalFabric: f, Targets: targets()[:1], ID: 5})
	var runs []standin.Run
	_, list := get(t, base+"/runs")
	must.NoError(t, json.Unmarshal([]byte(list), &runs))
	must.Eq(t, []standin.Run{{Caller: 5, Upstream: "r1"}}, runs)
}

func TestFabricStatus(t *testing.T) {
	f, _ := startPath(t, standin.FabricConfig{}, standin.UpstreamConfig{})
	base := "http://" + f.StatusAddr().String()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, base+"/balancers", strings.NewReader(`["127.0.0.1:9"]`))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	_, list := get(t, base+"/balancers")
	must.Eq(t, `["127.0.0.1:9"]`+"\n", list)
	_, stats := get(t, base+"/stats")
	must.StrContains(t, stats, `"sprayed":0`)
}
