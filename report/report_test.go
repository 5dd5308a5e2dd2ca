package report_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/report"
	"github.com/shoenig/test/must"
)

// serveRecorder publishes a recorder in the format of expvar and returns the
// address of its server.
func serveRecorder(t *testing.T, r *report.Recorder) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"cmdline": [], %q: %s}`, report.Name, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// newSidecarRecorder returns the recorder of a sidecar whose upstream holds the
// given number of connections.
func newSidecarRecorder(name string, connections int) *report.Recorder {
	r := report.NewRecorder(name, time.Now().Add(-time.Minute))
	s := r.Service("fitting")
	s.SetObjectives([]report.Objective{
		report.NewObjective(bundle.Objective{Name: "kept", Measure: "flows", Target: 0.999}),
		report.NewObjective(bundle.Objective{Name: "prompt", Measure: "latency", Target: 0.9, Within: 100 * time.Millisecond}),
	})
	s.SetUpstream(report.Upstream{Name: name, Slots: 2, Busy: 1, Connections: connections, Weight: 100})
	s.Opened(1, 0)
	s.Opened(3, 20*time.Millisecond)
	s.Broken()
	s.Answered(50 * time.Millisecond)
	s.Answered(time.Second)
	s.Failed()
	s.Refused("late")
	s.Refused("late")
	return r
}

func TestSpreadOfTwoSidecars(t *testing.T) {
	var out bytes.Buffer
	cfg := report.Config{
		Addresses: []string{serveRecorder(t, newSidecarRecorder("mat-1", 300)), serveRecorder(t, newSidecarRecorder("mat-2", 100)), "127.0.0.1:1"},
		JSON:      true,
	}
	must.NoError(t, report.Spread(context.Background(), cfg, &out))
	var got struct {
		Services []report.SpreadRow
		Missing  []string
	}
	must.NoError(t, json.Unmarshal(out.Bytes(), &got))
	must.Len(t, 1, got.Missing)
	row := got.Services[0]
	must.Eq(t, "fitting", row.Service)
	must.Eq(t, 2, row.Upstreams)
	must.Eq(t, 1.5, row.Connections.Worst)
	must.Eq(t, 1.0, row.Busy.Mean)
	must.Eq(t, 4, row.Opened)
	must.Eq(t, []report.Refusal{{Reason: "late", Count: 4}}, row.Refused)
	must.Eq(t, 2.0, row.Hops)
	must.Between(t, 19_900, row.WaitP99, 20_200)
}

func TestSpreadCountsOnlyDuringTheReport(t *testing.T) {
	r := newSidecarRecorder("mat-1", 10)
	var out bytes.Buffer
	cfg := report.Config{Addresses: []string{serveRecorder(t, r)}, Samples: 2, Interval: 100 * time.Millisecond, JSON: true}
	must.NoError(t, report.Spread(context.Background(), cfg, &out))
	must.StrContains(t, out.String(), `"opened": 0`)
}

// TestSpreadCountsRestartedProcessFromZero restarts a process between two
// samples. Its counter is higher than before the restart, so that only the start
// time reveals the restart.
func TestSpreadCountsRestartedProcessFromZero(t *testing.T) {
	first := report.NewRecorder("mat-1", time.Now().Add(-time.Hour))
	first.Service("fitting").Opened(1, 0)
	second := report.NewRecorder("mat-1", time.Now())
	for range 3 {
		second.Service("fitting").Opened(1, 0)
	}
	reads := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads++
		fmt.Fprintf(w, `{%q: %s}`, report.Name, []*report.Recorder{first, second}[min(reads-1, 1)])
	}))
	t.Cleanup(s.Close)
	var out bytes.Buffer
	cfg := report.Config{
		Addresses: []string{strings.TrimPrefix(s.URL, "http://")},
		Samples:   2, Interval: 100 * time.Millisecond, JSON: true,
	}
	must.NoError(t, report.Spread(context.Background(), cfg, &out))
	must.StrContains(t, out.String(), `"opened": 3`)
}

func TestBurnAsTableAndPlot(t *testing.T) {
	dir := t.TempDir()
	// The second process has the name of the first and started later, so it counts
	// as a restart, and its counts are added to those of the first in the file.
	for _, kind := range []struct{ file, magic, counts string }{
		{"burn.svg", "<?xml", "1    2"},
		{"burn.png", "\x89PNG", "2    4"},
	} {
		var out bytes.Buffer
		cfg := report.Config{
			Addresses:  []string{serveRecorder(t, newSidecarRecorder("mat-1", 10))},
			PlotFile:   filepath.Join(dir, kind.file),
			SampleFile: filepath.Join(dir, "samples.json"),
		}
		must.NoError(t, report.Burn(context.Background(), cfg, &out))
		must.StrContains(t, out.String(), "fitting  kept       0.999   1h      500.00  500.00  "+kind.counts)
		must.StrContains(t, out.String(), "fitting  prompt     0.9     1h      5.00")
		drawn, err := os.ReadFile(cfg.PlotFile)
		must.NoError(t, err)
		must.StrHasPrefix(t, kind.magic, string(drawn))
	}
}

func TestReportErrors(t *testing.T) {
	ctx := context.Background()
	empty := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(empty.Close)
	address := strings.TrimPrefix(empty.URL, "http://")

	var none *report.NoProcessError
	must.True(t, errors.As(report.Burn(ctx, report.Config{Addresses: []string{address}}, &bytes.Buffer{}), &none))
	var fetch *report.FetchError
	must.True(t, errors.As(none, &fetch))
	must.Eq(t, http.StatusNotFound, fetch.Status)

	var bad *report.ConfigError
	must.True(t, errors.As(report.Spread(ctx, report.Config{PlotFile: "x.bmp"}, &bytes.Buffer{}), &bad))
}

func TestSnapshotDecodingChecksInvariants(t *testing.T) {
	for _, text := range []string{
		`{"process":"a"}`,
		`{"started":"2026-12-01T08:00:00Z"}`,
		`{"process":"a","started":"2026-12-01T08:00:00Z","services":[{"name":"x"},{"name":"x"}]}`,
		`{"process":"a","started":"2026-12-01T08:00:00Z","services":[{"name":"x","upstreams":[{"name":"u","slots":0}]}]}`,
		`{"process":"a","started":"2026-12-01T08:00:00Z","services":[{"name":"x","objectives":[{"name":"o","measure":"flows","target":1}]}]}`,
	} {
		var s report.Snapshot
		var want *report.SnapshotError
		must.True(t, errors.As(json.Unmarshal([]byte(text), &s), &want), must.Sprint(text))
	}
}

func TestCommandHasExamples(t *testing.T) {
	for _, cmd := range report.NewCommand().Commands() {
		must.StrContains(t, cmd.Example, "corianderctl report "+cmd.Name())
	}
	cmd := report.NewCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"spread", serveRecorder(t, newSidecarRecorder("mat-1", 10)), "--samples", "1"})
	must.NoError(t, cmd.ExecuteContext(context.Background()))
	must.StrContains(t, out.String(), "late=2")
}
