package capacity_test

import (
	"bufio"
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/capacity"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/standin"
)

const (
	bundleChanges = 6
	// peakField is the field of /proc/PID/status with the peak resident memory.
	peakField = "VmHWM:"
)

// BenchmarkProcessMemory measures the peak resident memory of a balancer process
// that has activated several bundles.
func BenchmarkProcessMemory(b *testing.B) {
	program := filepath.Join(b.TempDir(), "corianderbay")
	must.NoError(b, exec.Command("go", "build", "-o", program, "../cmd/corianderbay").Run())
	reportSlope(b, fleetSizes(), "service", "B", measureOnce(func(services int) float64 {
		return peakMemory(b, program, services)
	}))
}

func peakMemory(b *testing.B, program string, services int) float64 {
	p := standin.NewPlatform(standin.PlatformConfig{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	p.SetInstances([]configservice.Instance{{
		Name:       "entry-1",
		Role:       configservice.RoleBalancer,
		DataCentre: "centre-0",
		Control:    netip.MustParseAddrPort("127.0.0.1:9"), // never dialled, since it has no peers
		State:      configservice.StateLive,
	}})
	authority, issued := issue(b)
	cmd := exec.CommandContext(ctx, program, "balancer",
		"--name", "entry-1", "--datacentre", "centre-0", "--platform", server.URL,
		"--ca-file", writeTempFile(b, authority.PEM()),
		"--certificate-file", writeTempFile(b, issued.Certificate), "--certificate-key-file", writeTempFile(b, issued.Key),
		"--key-file", writeTempFile(b, []byte(strings.Repeat("07", 32))), "--approvers", "a:"+approvers().Approvers[0].Key,
		"--fabric-address", "127.0.0.1:0", "--gateway", "127.0.0.1:9")
	events, err := cmd.StderrPipe()
	must.NoError(b, err)
	must.NoError(b, cmd.Start())
	lines := bufio.NewScanner(events)
	size := capacity.Size{Services: services, Upstreams: upstreamsPerService}
	var last *bundle.Frozen
	for i := range bundleChanges {
		last = sign(b, size.Bundle(uint64(i+1), approvers()), last)
		publish(b, p, last)
		awaitEvent(b, lines, "bundle-accepted")
	}
	peak := peakResidentBytes(b, cmd.Process.Pid)
	stop()
	_ = cmd.Wait() // always an error, since the process was killed
	return peak
}

func publish(b *testing.B, p *standin.Platform, f *bundle.Frozen) {
	pub, err := configservice.NewPublication("bundle", f)
	must.NoError(b, err)
	p.Publish(pub)
}

func awaitEvent(b *testing.B, lines *bufio.Scanner, name string) {
	for lines.Scan() {
		if strings.Contains(lines.Text(), name) {
			return
		}
	}
	b.Fatalf("the process exited before event %s", name)
}

// writeTempFile writes the content to a new file and returns its name.
func writeTempFile(b *testing.B, content []byte) string {
	name := filepath.Join(b.TempDir(), "file")
	must.NoError(b, os.WriteFile(name, content, 0o600))
	return name
}

// peakResidentBytes returns the peak resident memory of the process.
func peakResidentBytes(b *testing.B, pid int) float64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	must.NoError(b, err)
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, peakField); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			must.NoError(b, err)
			return float64(kilobytes) * 1024
		}
	}
	b.Fatal("VmHWM is missing from the process status")
	return 0
}
