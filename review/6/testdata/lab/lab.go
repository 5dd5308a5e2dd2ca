// Package lab plays a small deployment of the users' platform on loopback addresses: it
// starts the programs of deploy/system.toml as separate processes and stands in for the
// store, the backends and the clients. The cases of the second review are built on it.
//
// Start with New, then Lab.StartAll.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// The third octet of the addresses 127.N.kind.n.
const (
	kindBalancer = 1
	kindBackend  = 2
	kindClient   = 3
	kindStore    = 4
)

// Config describes a deployment.
type Config struct {
	// Zones are the names of the zones. Machines are dealt over them in turn.
	Zones     []string
	Balancers int
	// Backends has the service of each backend.
	Backends []string
	// Later is the number of backends, the last ones, that StartAll does not start.
	Later int
	// HeartbeatMillis is the interval at which backends write to the store.
	HeartbeatMillis int
	// Bounds are the figures of the settings.
	Bounds map[string]any
	// Work is how long a backend works on a request, and Slots how many at once.
	Work  time.Duration
	Slots int
	// WarmupSeconds is how long a backend is cold after a start during traffic.
	WarmupSeconds float64
}

// SmallBounds returns the bounds of the small deployments.
func SmallBounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
		"drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250,
		"max_skew_ms": 12000, "recover_s": 12, "flow_slack_ms": 2000, "max_flow_s": 60,
	}
}

// Lab is a running deployment.
type Lab struct {
	cfg     Config
	dir     string
	network byte
	ports   standin.Ports
	start   time.Time
	record  *os.File
	recMu   sync.Mutex

	Store    *standin.Store
	paths    []*StorePath
	servers  []*http.Server
	Router   *standin.Router
	Process  map[string]*Process
	Backends []*Backend
	commands map[string][]string

	startOnce sync.Once
	starts    chan startRequest
}

// New prepares a deployment. root is the root of the repository, record the path of the
// file that gets one line per event.
func New(root, record string, cfg Config) (*Lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &Lab{cfg: cfg, dir: dir, record: f, start: time.Now(), Store: standin.NewStore(), Process: make(map[string]*Process)}
	if l.commands, err = readCommands(root); err != nil {
		return nil, err
	}
	if err := l.chooseNetwork(); err != nil {
		return nil, err
	}
	return l, l.open(root)
}

// readCommands returns the commands of the roles in deploy/system.toml.
func readCommands(root string) (map[string][]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	found := regexp.MustCompile(`(?m)^\[roles\.(\S+)\]\s+run = "([^"]+)"`).FindAllStringSubmatch(string(raw), -1)
	for _, m := range found {
		commands[m[1]] = strings.Fields(m[2])
	}
	if len(commands["balancer"]) == 0 || len(commands["sidecar"]) == 0 {
		return nil, fmt.Errorf("deploy/system.toml lacks the role balancer or sidecar")
	}
	return commands, nil
}

// chooseNetwork selects a second octet and ports that are free.
func (l *Lab) chooseNetwork() error {
	for range 50 {
		l.network = byte(2 + rand.IntN(250))
		base := uint16(20000 + 100*rand.IntN(100))
		l.ports = standin.Ports{Packets: base + 12, Ready: base + 7, Outbound: base + 2, Upstream: base + 5, Exchange: base + 20}
		if l.free() {
			return nil
		}
	}
	return fmt.Errorf("no free loopback network was found")
}

func (l *Lab) free() bool {
	for _, kind := range []int{kindBalancer, kindBackend, kindClient, kindStore} {
		for _, port := range []uint16{l.ports.Packets, l.ports.Ready, l.ports.Outbound, l.ports.Upstream, l.ports.Exchange, l.ports.Exchange + 1} {
			a := netip.AddrPortFrom(l.addr(kind, 1), port)
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
			if err != nil {
				return false
			}
			c.Close()
			t, err := net.Listen("tcp4", a.String())
			if err != nil {
				return false
			}
			t.Close()
		}
	}
	return true
}

func (l *Lab) addr(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.network, byte(kind), byte(n)})
}

// open starts the store and writes the settings of all processes.
func (l *Lab) open(root string) error {
	var balancers []standin.Host
	for i := range l.cfg.Balancers {
		balancers = append(balancers, l.host("front", kindBalancer, i, ""))
	}
	l.Router = standin.NewRouter(balancers)
	for _, h := range balancers {
		if err := l.addProcess(root, "balancer", h, balancers); err != nil {
			return err
		}
	}
	for i, service := range l.cfg.Backends {
		h := l.host("side", kindBackend, i, service)
		if err := l.addProcess(root, "sidecar", h, balancers); err != nil {
			return err
		}
		l.Backends = append(l.Backends, newBackend(l, fmt.Sprintf("i-%d", i+1), h))
	}
	return nil
}

func (l *Lab) host(class string, kind, i int, service string) standin.Host {
	zone := l.cfg.Zones[i%len(l.cfg.Zones)]
	return standin.Host{
		Name: fmt.Sprintf("%s-%d", class, i+1), Address: l.addr(kind, i+1), DataCentre: zone,
		Service: service, Ports: l.ports,
	}
}

// ClientHost returns the host of the clients of a zone.
func (l *Lab) ClientHost(zone string) standin.Host {
	n := 1
	for i, z := range l.cfg.Zones {
		if z == zone {
			n = i + 1
		}
	}
	return standin.Host{Name: "client-" + zone, Address: l.addr(kindClient, n), DataCentre: zone, Ports: l.ports}
}

// addProcess writes the settings of a process, which gets a way of its own to the store.
func (l *Lab) addProcess(root, role string, h standin.Host, balancers []standin.Host) error {
	path := &StorePath{store: l.Store}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.addr(kindStore, len(l.paths)+1), 0).String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: path, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	l.paths, l.servers = append(l.paths, path), append(l.servers, server)
	file := filepath.Join(l.dir, h.Name+".json")
	if err := os.WriteFile(file, l.settings(role, h, listener.Addr().String(), balancers), 0o600); err != nil {
		return err
	}
	l.Process[h.Name] = &Process{Name: h.Name, Host: h, Store: path, lab: l, root: root, file: file, args: l.commands[role]}
	return nil
}

// settings returns the settings file of a process, in the form of the deploy page.
func (l *Lab) settings(role string, h standin.Host, store string, balancers []standin.Host) []byte {
	zones := make(map[string]string)
	for _, z := range l.cfg.Zones {
		zones[z] = "region"
	}
	var seeds []string
	for _, b := range balancers[:min(3, len(balancers))] {
		seeds = append(seeds, b.AddrPort(l.ports.Ready+1).String())
	}
	s := map[string]any{
		"node": h.Name, "role": role, "ip": h.Address.String(), "zone": h.DataCentre, "region": "region", "zones": zones,
		"listen": map[string]any{
			"datagram_addr": h.AddrPort(l.ports.Packets).String(),
			"ready":         h.AddrPort(l.ports.Ready).String(),
			"outbound":      h.AddrPort(l.ports.Outbound).String(),
		},
		"internal_ports": []uint16{l.ports.Exchange, l.ports.Exchange + 15},
		"seeds":          seeds, "bootstrap": false, "in_fault_budget": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "announce", "heartbeat_ms": l.cfg.HeartbeatMillis,
		"bounds": l.cfg.Bounds, "hash": "mod", "forwarding_mode": "agent",
		"platform": map[string]any{"address": store, "reads_per_s": 2000, "history_s": 20},
	}
	if role == "sidecar" {
		s["app"], s["service"] = h.AddrPort(l.ports.Upstream).String(), h.Service
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // the types above can be encoded
	}
	return raw
}

// Since returns the time since the lab was made.
func (l *Lab) Since() time.Duration { return time.Since(l.start) }

// Record writes one line of the record, after the time in seconds.
func (l *Lab) Record(format string, args ...any) {
	l.recMu.Lock()
	defer l.recMu.Unlock()
	fmt.Fprintf(l.record, "%9.3f %s\n", l.Since().Seconds(), fmt.Sprintf(format, args...))
}

// StartAll starts all processes and backends, with the processes' first settings, and waits
// until the balancers are ready.
func (l *Lab) StartAll(timeout time.Duration) error {
	later := make(map[string]bool)
	for i, b := range l.Backends {
		if i >= len(l.Backends)-l.cfg.Later {
			later[b.Host.Name] = true
			continue
		}
		if err := b.Start(false); err != nil {
			return err
		}
	}
	for _, p := range l.Process {
		if later[p.Name] {
			continue
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(timeout)
	for l.Router.ReadyBalancers() < l.cfg.Balancers {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d balancers are ready", l.Router.ReadyBalancers(), l.cfg.Balancers)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// Close ends all processes that were started, and removes the settings.
func (l *Lab) Close() {
	for _, p := range l.Process {
		p.end()
	}
	for _, b := range l.Backends {
		b.Crash()
	}
	for _, s := range l.servers {
		s.Close()
	}
	l.record.Close()
	if keep := os.Getenv("REVIEW_KEEP"); keep == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", l.dir)
	}
}

// StorePath is the way of one process to the store.
type StorePath struct {
	store http.Handler

	mu     sync.Mutex
	silent bool
	last   time.Time // when the last call came
}

// Reader returns the process that called the store last.
func (l *Lab) Reader() *Process {
	var reader *Process
	var last time.Time
	for _, p := range l.Process {
		p.Store.mu.Lock()
		if p.Store.last.After(last) {
			reader, last = p, p.Store.last
		}
		p.Store.mu.Unlock()
	}
	return reader
}

// SetSilent leaves all calls without an answer, or ends that.
func (p *StorePath) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// ServeHTTP passes a call on.
func (p *StorePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	silent := p.silent
	p.last = time.Now()
	p.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	answer := httptest.NewRecorder()
	p.store.ServeHTTP(answer, r)
	p.mu.Lock()
	silent = p.silent
	p.mu.Unlock()
	if silent { // also a call that was waiting gets no answer
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // a client that has gone calls again
}

// StoreDown leaves all calls of the system and the backends without an answer, or ends that.
func (l *Lab) StoreDown(down bool) {
	for _, p := range l.paths {
		p.SetSilent(down)
	}
	for _, b := range l.Backends {
		b.CutOff(down)
	}
	l.Record("the store is down: %v", down)
}

// Context returns a context for what runs beside a case.
func Context() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// Fail prints why a case could not run and ends with NotRun.
func Fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(NotRun)
}

// discard is where the output of processes goes unless REVIEW_KEEP is set.
var discard io.Writer = io.Discard
