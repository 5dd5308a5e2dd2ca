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

// childVariable holds the settings of a child process that runs one node.
const childVariable = "CORIANDERBAY_TEST_NODE"

// binaryVariable names the program corianderbay; trials then run its balancers as processes.
const binaryVariable = "CORIANDERBAY_BINARY"

const controlPort = 7946

// childConfig is the value of childVariable in JSON.
type childConfig struct {
	Name, DataCentre, Platform string
	Seed                       uint64
	Certificates               peer.CredentialsConfig
	// Control is the address of a daemon; a child that runs a node prints its own.
	Control netip.AddrPort
}

func TestMain(m *testing.M) {
	if settings := os.Getenv(childVariable); settings != "" {
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

// runChild runs a node until standard input ends. It prints its address and
// then each sequence that comes into force.
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
	cmd   *exec.Cmd
	stdin io.Closer
	lines *bufio.Scanner

	mu       sync.Mutex
	enforced map[uint64]time.Time
	highest  uint64
	wokenAt  time.Time
	backward bool
}

// herd is a fleet of processes.
type herd struct {
	*fleet
	children []*child
}

func newHerd(t testing.TB, count int) *herd {
	h := &herd{fleet: newFleet(t, 0, slopeServices)}
	must.NoError(t, os.WriteFile(h.clusterKey(), []byte(strings.Repeat("0", 64)), 0o600))
	var list []configservice.Instance
	for i := range count {
		cfg := childConfig{
			Name: fmt.Sprintf("node-%02d", i), DataCentre: fmt.Sprintf("dc%d", i%2),
			Platform: h.server.URL, Seed: uint64(i), Certificates: h.cert,
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

func (h *herd) start(cfg childConfig) (*child, netip.AddrPort) {
	c := &child{cmd: h.command(&cfg), enforced: make(map[uint64]time.Time)}
	var err error
	c.stdin, err = c.cmd.StdinPipe()
	must.NoError(h.t, err)
	out, err := c.cmd.StdoutPipe()
	must.NoError(h.t, err)
	c.cmd.Stderr = c.cmd.Stdout // a daemon logs its events there
	must.NoError(h.t, c.cmd.Start())
	c.lines = bufio.NewScanner(out)
	if !cfg.Control.IsValid() {
		must.True(h.t, c.lines.Scan())
		cfg.Control = netip.MustParseAddrPort(c.lines.Text())
	}
	h.wg.Go(func() { h.listen(c) })
	return c, cfg.Control
}

// command returns the command of a child. For a daemon it sets the control address.
func (h *herd) command(cfg *childConfig) *exec.Cmd {
	binary := os.Getenv(binaryVariable)
	if binary != "" {
		cfg.Control = loopbackOf(*cfg)
		return exec.Command(binary, h.daemonFlags(*cfg)...)
	}
	settings, err := json.Marshal(cfg)
	must.NoError(h.t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"="+string(settings))
	return cmd
}

func (h *herd) clusterKey() string {
	return filepath.Join(h.files, "cluster.key")
}

func (h *herd) daemonFlags(cfg childConfig) []string {
	return []string{
		"balancer", "--name", cfg.Name, "--datacentre", cfg.DataCentre, "--platform", cfg.Platform,
		"--control-address", cfg.Control.String(), "--key-file", h.clusterKey(), "--drain", "0s",
		"--approvers", "adi:" + policy().Approvers[0].Key, "--gateway", "127.0.0.1:9",
		"--ca-file", cfg.Certificates.Authority, "--certificate-file", cfg.Certificates.Certificate,
		"--certificate-key-file", cfg.Certificates.Key, "--fabric-address", "127.0.0.1:0",
	}
}

// loopbackOf returns an address of the loopback interface that no other child
// has, and from which the system gives no ports out.
func loopbackOf(cfg childConfig) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(cfg.Seed), 1})
	return netip.AddrPortFrom(ip, controlPort)
}

// sequenceOf returns the sequence that a line says came into force: a number
// alone, or the event of a daemon.
func sequenceOf(line []byte) (uint64, bool) {
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

func (h *herd) listen(c *child) {
	for c.lines.Scan() {
		sequence, ok := sequenceOf(c.lines.Bytes())
		if !ok {
			continue
		}
		c.mu.Lock()
		c.backward = c.backward || sequence <= c.highest
		c.highest = sequence
		c.enforced[sequence] = h.timer.Now()
		c.mu.Unlock()
	}
}

func (h *herd) stop() {
	for _, c := range h.children {
		_ = c.cmd.Process.Signal(syscall.SIGCONT)
		c.stdin.Close()
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range h.children {
		_ = c.cmd.Wait()
	}
}

func (h *herd) signal(s syscall.Signal, children []*child) {
	for _, c := range children {
		must.NoError(h.t, c.cmd.Process.Signal(s))
		if s == syscall.SIGCONT {
			c.mu.Lock()
			c.wokenAt = h.timer.Now()
			c.mu.Unlock()
		}
	}
}

// awaitAll waits until each child has a sequence in force that is at least the given one.
func (h *herd) awaitAll(sequence uint64) {
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

// delay returns how long after from the child had the sequence or a higher one
// in force. A child that was frozen is counted from when it woke.
func (c *child) delay(sequence uint64, from time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := time.Time{}
	for n, at := range c.enforced {
		if n >= sequence && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if c.wokenAt.After(from) && first.After(c.wokenAt) {
		from = c.wokenAt
	}
	return first.Sub(from)
}

// trial holds the times of a run of separate processes.
type trial struct {
	count   int
	frozen  int
	rounds  int
	every   time.Duration
	down    [2]int // the rounds at which the platform stops and starts
	freezes [2]int // the rounds at which processes are frozen and woken
}

// run rolls a bundle each round and returns the delays until it was in force
// in each process, counted from when it could be read.
func (r trial) run(h *herd) []time.Duration {
	h.awaitAll(h.publish())
	possible := make(map[uint64]time.Time)
	for i := range r.rounds {
		switch i {
		case r.down[0]:
			h.platform.SetFault("", standin.PlatformFault{Down: true})
		case r.down[1]:
			h.platform.SetFault("", standin.PlatformFault{})
			for n := range possible {
				if i-int(n-2) <= r.down[1]-r.down[0] {
					possible[n] = h.timer.Now()
				}
			}
		}
		switch i {
		case r.freezes[0]:
			h.signal(syscall.SIGSTOP, h.children[:r.frozen])
		case r.freezes[1]:
			h.signal(syscall.SIGCONT, h.children[:r.frozen])
		}
		possible[h.publish()] = h.timer.Now()
		h.sleep(r.every)
	}
	h.awaitAll(h.previous.Sequence())
	var delays []time.Duration
	for n, from := range possible {
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

// TestProcessesConverge is the small form of BenchmarkProcesses.
func TestProcessesConverge(t *testing.T) {
	r := trial{count: 6, frozen: 1, rounds: 6, every: time.Second, down: [2]int{1, 3}, freezes: [2]int{2, 5}}
	r.run(newHerd(t, r.count))
}

// BenchmarkProcesses runs 60 processes on loopback with a change each 2 s for a
// minute, the platform stopped for 20 s of it, and 5 processes frozen and woken.
// Run it with -benchtime 1x.
func BenchmarkProcesses(b *testing.B) {
	for b.Loop() {
		r := trial{count: 60, frozen: 5, rounds: 30, every: 2 * time.Second, down: [2]int{5, 15}, freezes: [2]int{8, 20}}
		h := newHerd(b, r.count)
		begin := h.timer.Now()
		delays := r.run(h)
		b.ReportMetric(delays[len(delays)/2].Seconds(), "p50-s")
		b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99-s")
		b.ReportMetric(delays[len(delays)-1].Seconds(), "max-s")
		b.ReportMetric(float64(h.platform.Counts().Calls), "calls")
		b.ReportMetric(float64(h.platform.Counts().Calls)/h.timer.Since(begin).Seconds(), "calls/s")
	}
}
