package peer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

// childEnv is the environment variable with the settings of a child process that runs one node.
const childEnv = "CORIANDERBAY_TEST_NODE"

// binaryEnv is the environment variable with the path of the corianderbay binary.
// If it is set, the child processes run that binary as balancers.
const binaryEnv = "CORIANDERBAY_BINARY"

const controlPort = 7946

// childConfig is the value of childEnv, encoded as JSON.
type childConfig struct {
	Name, DataCentre, Platform string
	Seed                       uint64
	Certificates               peer.CredentialsConfig
	// Control is the control address of a daemon. A child that runs a node prints its own instead.
	Control netip.AddrPort
}

func TestMain(m *testing.M) {
	if settings := os.Getenv(childEnv); settings != "" {
		runChild(settings)
		return
	}
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// runChild runs a node until standard input is closed. It prints the address of
// the node and then each sequence that comes into force.
func runChild(settings string) {
	var cfg childConfig
	if err := json.Unmarshal([]byte(settings), &cfg); err != nil {
		panic(err)
	}
	credentials, err := peer.LoadCredentials(cfg.Certificates)
	if err != nil {
		panic(err)
	}
	n, err := peer.NewNode(peer.Config{
		Name: cfg.Name, DataCentre: cfg.DataCentre, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Credentials: credentials, Anchor: policy(), Rand: rand.New(rand.NewPCG(cfg.Seed, 1)),
		Platform: configservice.NewClient(configservice.Config{Address: cfg.Platform, Reader: cfg.Name}),
		OnBundle: func(b *bundle.Bundle, _ bundle.Hash) { fmt.Println(b.Sequence) },
	})
	if err != nil {
		panic(err)
	}
	fmt.Println(n.Address())
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = n.Run(ctx) })
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop()
	wg.Wait()
}

// child is a process that runs one node.
type child struct {
	cmd    *exec.Cmd
	stdin  io.Closer
	output *bufio.Scanner

	mu        sync.Mutex
	activated map[uint64]time.Time
	highest   uint64
	resumedAt time.Time
	backward  bool
}

// processFleet is a fleet in which each node is a process of its own.
type processFleet struct {
	*fleet
	children []*child
}

func newProcessFleet(t testing.TB, count int) *processFleet {
	h := &processFleet{fleet: newFleet(t, 0, benchServices)}
	must.NoError(t, os.WriteFile(h.clusterKey(), []byte(strings.Repeat("0", 64)), 0o600))
	var list []configservice.Instance
	for i := range count {
		cfg := childConfig{
			Name: fmt.Sprintf("node-%02d", i), DataCentre: fmt.Sprintf("dc%d", i%2),
			Platform: h.server.URL, Seed: uint64(i), Certificates: h.credentials,
		}
		c, address := h.start(cfg)
		h.children = append(h.children, c)
		list = append(list, configservice.Instance{
			Name: cfg.Name, DataCentre: cfg.DataCentre, Role: configservice.RoleBalancer,
			Control: address, State: configservice.StateLive,
		})
	}
	t.Cleanup(h.stop)
	h.platform.SetInstances(list)
	return h
}

func (h *processFleet) start(cfg childConfig) (*child, netip.AddrPort) {
	c := &child{cmd: h.command(&cfg), activated: make(map[uint64]time.Time)}
	var err error
	c.stdin, err = c.cmd.StdinPipe()
	must.NoError(h.t, err)
	out, err := c.cmd.StdoutPipe()
	must.NoError(h.t, err)
	c.cmd.Stderr = c.cmd.Stdout // a daemon logs its events to standard error
	must.NoError(h.t, c.cmd.Start())
	c.output = bufio.NewScanner(out)
	if !cfg.Control.IsValid() {
		must.True(h.t, c.output.Scan())
		cfg.Control = netip.MustParseAddrPort(c.output.Text())
	}
	h.wg.Go(func() { h.readOutput(c) })
	return c, cfg.Control
}

// command returns the command that starts a child. For a daemon it sets cfg.Control.
func (h *processFleet) command(cfg *childConfig) *exec.Cmd {
	binary := os.Getenv(binaryEnv)
	if binary != "" {
		cfg.Control = loopbackAddress(*cfg)
		return exec.Command(binary, h.daemonFlags(*cfg)...)
	}
	settings, err := json.Marshal(cfg)
	must.NoError(h.t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+string(settings))
	return cmd
}

func (h *processFleet) clusterKey() string {
	return filepath.Join(h.dir, "cluster.key")
}

func (h *processFleet) daemonFlags(cfg childConfig) []string {
	return []string{
		"balancer", "--name", cfg.Name, "--datacentre", cfg.DataCentre, "--platform", cfg.Platform,
		"--control-address", cfg.Control.String(), "--key-file", h.clusterKey(), "--drain", "0s",
		"--approvers", "adi:" + policy().Approvers[0].Key, "--gateway", "127.0.0.1:9",
		"--ca-file", cfg.Certificates.Authority, "--certificate-file", cfg.Certificates.Certificate,
		"--certificate-key-file", cfg.Certificates.Key, "--fabric-address", "127.0.0.1:0",
	}
}

// loopbackAddress returns a loopback address that no other child uses and from
// which the system allocates no ephemeral ports.
func loopbackAddress(cfg childConfig) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(cfg.Seed), 1})
	return netip.AddrPortFrom(ip, controlPort)
}

// parseSequence returns the sequence that came into force according to a line of
// output, which is a plain number or the event of a daemon.
func parseSequence(line []byte) (uint64, bool) {
	var logged struct {
		Event    event.Number `json:"event"`
		Sequence uint64       `json:"sequence"`
	}
	if json.Unmarshal(line, &logged) == nil {
		return logged.Sequence, logged.Event == event.BundleAccepted
	}
	sequence, err := strconv.ParseUint(string(line), 10, 64)
	return sequence, err == nil
}

func (h *processFleet) readOutput(c *child) {
	for c.output.Scan() {
		sequence, ok := parseSequence(c.output.Bytes())
		if !ok {
			continue
		}
		c.mu.Lock()
		c.backward = c.backward || sequence <= c.highest
		c.highest = sequence
		c.activated[sequence] = h.timer.Now()
		c.mu.Unlock()
	}
}

func (h *processFleet) stop() {
	for _, c := range h.children {
		_ = c.cmd.Process.Signal(syscall.SIGCONT)
		c.stdin.Close()
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range h.children {
		_ = c.cmd.Wait()
	}
}

func (h *processFleet) signal(s syscall.Signal, children []*child) {
	for _, c := range children {
		must.NoError(h.t, c.cmd.Process.Signal(s))
		if s == syscall.SIGCONT {
			c.mu.Lock()
			c.resumedAt = h.timer.Now()
			c.mu.Unlock()
		}
	}
}

// awaitAll waits until each child has the sequence or a higher one in force.
func (h *processFleet) awaitAll(sequence uint64) {
	h.t.Helper()
	deadline := h.timer.Now().Add(time.Minute)
	for _, c := range h.children {
		for c.latest() < sequence {
			must.True(h.t, h.timer.Now().Before(deadline), must.Sprintf("has %d, want %d", c.latest(), sequence))
			h.sleep(10 * time.Millisecond)
		}
	}
}

func (c *child) latest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highest
}

// delay returns the time from from until the child had the sequence or a higher
// one in force. If the child was frozen meanwhile, it returns the time since it
// was resumed.
func (c *child) delay(sequence uint64, from time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := time.Time{}
	for n, at := range c.activated {
		if n >= sequence && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if c.resumedAt.After(from) && first.After(c.resumedAt) {
		from = c.resumedAt
	}
	return first.Sub(from)
}

// faultSchedule describes the rounds and faults of a run of separate processes.
type faultSchedule struct {
	count        int
	frozen       int
	rounds       int
	interval     time.Duration
	platformDown [2]int // rounds at which the platform stops and starts
	freezeRounds [2]int // rounds at which processes are frozen and resumed
}

// run publishes a bundle in each round and returns the sorted delays from when
// it could be read until it was in force, for each process and bundle.
func (r faultSchedule) run(h *processFleet) []time.Duration {
	h.awaitAll(h.publish())
	readableAt := make(map[uint64]time.Time)
	for i := range r.rounds {
		switch i {
		case r.platformDown[0]:
			h.platform.SetFault("", standin.PlatformFault{Down: true})
		case r.platformDown[1]:
			h.platform.SetFault("", standin.PlatformFault{})
			for n := range readableAt {
				if i-int(n-2) <= r.platformDown[1]-r.platformDown[0] {
					readableAt[n] = h.timer.Now()
				}
			}
		}
		switch i {
		case r.freezeRounds[0]:
			h.signal(syscall.SIGSTOP, h.children[:r.frozen])
		case r.freezeRounds[1]:
			h.signal(syscall.SIGCONT, h.children[:r.frozen])
		}
		readableAt[h.publish()] = h.timer.Now()
		h.sleep(r.interval)
	}
	h.awaitAll(h.previous.Sequence())
	var delays []time.Duration
	for n, from := range readableAt {
		for _, c := range h.children {
			delays = append(delays, c.delay(n, from))
		}
	}
	for _, c := range h.children {
		must.False(h.t, c.backward)
	}
	slices.Sort(delays)
	return delays
}

// TestProcessesConverge runs BenchmarkProcesses on a small scale: no process may
// miss the last bundle or return to an older one, despite an outage of the
// platform and a frozen process.
func TestProcessesConverge(t *testing.T) {
	r := faultSchedule{count: 6, frozen: 1, rounds: 6, interval: time.Second, platformDown: [2]int{1, 3}, freezeRounds: [2]int{2, 5}}
	r.run(newProcessFleet(t, r.count))
}

// BenchmarkProcesses runs 60 processes on loopback with a change every 2 s for a
// minute. The platform is down for 20 s of it, and 5 processes are frozen and
// resumed. Run it with -benchtime 1x.
func BenchmarkProcesses(b *testing.B) {
	for b.Loop() {
		r := faultSchedule{count: 60, frozen: 5, rounds: 30, interval: 2 * time.Second, platformDown: [2]int{5, 15}, freezeRounds: [2]int{8, 20}}
		h := newProcessFleet(b, r.count)
		begin := h.timer.Now()
		delays := r.run(h)
		b.ReportMetric(delays[len(delays)/2].Seconds(), "p50-s")
		b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99-s")
		b.ReportMetric(delays[len(delays)-1].Seconds(), "max-s")
		b.ReportMetric(float64(h.platform.Counts().Calls), "calls")
		b.ReportMetric(float64(h.platform.Counts().Calls)/h.timer.Since(begin).Seconds(), "calls/s")
	}
}
