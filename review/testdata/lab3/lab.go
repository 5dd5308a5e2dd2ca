package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// The ports of every machine.
const (
	portPackets  = 21172
	portReady    = 21167
	portControl  = 21166
	portOutbound = 21162
	portApp      = 21165
	portInternal = 21720
)

// The kinds of machines, which are the third octet of their addresses.
const (
	kindFront  = 1
	kindSide   = 2
	kindClient = 3
	kindStore  = 4
)

// drainBound and applyBound are the bounds of a small deployment.
const (
	drainBound = 3 * time.Second
	applyBound = 3 * time.Second
)

// machine is a machine with one process of the system.
type machine struct {
	lab     *lab
	name    string
	role    string // balancer or sidecar
	host    netip.Addr
	zone    string
	service string
	first   bool
	process *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// lab is a small deployment on loopback addresses.
type lab struct {
	rec       *record
	network   byte
	guard     net.Listener
	directory string
	zones     []string
	store     *standin.Store
	storeAddr string
	server    *http.Server
	commands  map[string][]string
	router    *router
	fronts    []*machine
	sides     []*machine

	mu       sync.Mutex
	faults   []string
	requests map[string]*request
	backends []*backend
	resets   int
}

// request is what is known of one request.
type request struct {
	runs    int
	answers int
}

// fault records a broken rule.
func (l *lab) fault(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	l.mu.Lock()
	l.faults = append(l.faults, text)
	l.mu.Unlock()
	l.rec.line("BROKEN %s", text)
}

func (l *lab) sent(id string, f *flow) {
	l.mu.Lock()
	l.requests[id] = &request{}
	l.mu.Unlock()
	l.rec.line("request %s sent on flow %s > %s", id, f.key.client, f.key.route)
}

func (l *lab) ran(b *backend, id string, k flowKey) {
	l.mu.Lock()
	r := l.requests[id]
	if r != nil {
		r.runs++
	}
	l.mu.Unlock()
	l.rec.line("request %s runs at %s of %s", id, b.id, b.service)
	if r == nil {
		l.fault("UNASKED", "backend %s ran request %s, which no client sent", b.id, id)
	}
}

func (l *lab) answered(id, body string) {
	l.rec.line("request %s answered", id)
	if !strings.HasSuffix(body, id) {
		l.fault("MIXED", "request %s got the answer %q", id, body)
	}
}

// gotReset judges a reset that a client got.
func (l *lab) gotReset(f *flow, p *packet, own, inside bool) {
	l.rec.line("client gets a reset on flow %s > %s: of the system's own %t, flow open %t, seq inside the window %t", f.key.client, f.key.route, own, f.open, inside)
	if !own || !f.open || f.closed {
		return
	}
	l.mu.Lock()
	l.resets++
	var holder *backend
	for _, b := range l.backends {
		if b.holds(f.key) {
			holder = b
		}
	}
	l.mu.Unlock()
	if holder != nil {
		l.fault("FLOW", "the client of flow %s > %s got a reset that backend %s, which holds the flow, did not send", f.key.client, f.key.route, holder.id)
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newLab binds the store and reads the commands of the deploy file.
func newLab(rec *record, zones ...string) (*lab, error) {
	l := &lab{rec: rec, zones: zones, store: standin.NewStore(), requests: make(map[string]*request), commands: make(map[string][]string)}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, m := range runLine.FindAllStringSubmatch(string(deploy), -1) {
		words := strings.Fields(m[1])
		l.commands[words[2]] = words
	}
	if l.directory, err = os.MkdirTemp("", "lab3-"); err != nil {
		return nil, err
	}
	for n := byte(100); n < 250; n++ {
		l.network = n
		if l.free() {
			break
		}
	}
	if err := l.serveStore(1); err != nil {
		return nil, err
	}
	l.router = &router{lab: l, misses: make(map[*machine]int)}
	go l.router.run()
	return l, nil
}

// free reports whether the addresses of the network can be bound, and keeps one of them, so that
// no other lab takes the network.
func (l *lab) free() bool {
	guard, err := net.Listen("tcp4", netip.AddrPortFrom(l.host(kindStore, 254), portControl).String())
	if err != nil {
		return false
	}
	for _, kind := range []int{kindFront, kindSide, kindClient, kindStore} {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.host(kind, 1), portPackets)))
		if err != nil {
			guard.Close()
			return false
		}
		c.Close()
	}
	l.guard = guard
	return true
}

func (l *lab) host(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.network, byte(kind), byte(n)})
}

// serveStore serves the store at an address of its own.
func (l *lab) serveStore(n int) error {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.host(kindStore, n), 0).String())
	if err != nil {
		return err
	}
	l.server = &http.Server{Handler: l.store}
	l.storeAddr = listener.Addr().String()
	go l.server.Serve(listener)
	return nil
}

func (l *lab) addFront(zone string) *machine {
	m := &machine{lab: l, name: fmt.Sprintf("front-%s-%d", zone, len(l.fronts)+1), role: "balancer", host: l.host(kindFront, len(l.fronts)+1), zone: zone, first: true}
	l.fronts = append(l.fronts, m)
	return m
}

func (l *lab) addSide(zone, service string) *machine {
	m := &machine{lab: l, name: fmt.Sprintf("side-%s-%d", zone, len(l.sides)+1), role: "sidecar", host: l.host(kindSide, len(l.sides)+1), zone: zone, service: service, first: true}
	l.sides = append(l.sides, m)
	return m
}

func (l *lab) machines() []*machine { return append(append([]*machine(nil), l.fronts...), l.sides...) }

// settingsPath returns the path of the settings file of a machine.
func (m *machine) settingsPath() string { return filepath.Join(m.lab.directory, m.name+".json") }

// writeSettings writes the settings file as DEPLOY.md describes it.
func (m *machine) writeSettings() error {
	l := m.lab
	at := func(port uint16) string { return netip.AddrPortFrom(m.host, port).String() }
	class, serves := "front", []string{"front", "control"}
	listen := map[string]any{"datagram_addr": at(portPackets), "ready": at(portReady), "control": at(portControl)}
	if m.role == "sidecar" {
		class, serves = "side", []string{"side"}
		listen = map[string]any{"datagram_addr": at(portPackets), "ready": at(portReady), "outbound": at(portOutbound)}
	}
	zones := make(map[string]string)
	for _, z := range l.zones {
		zones[z] = "region-1"
	}
	var seeds []string
	for _, f := range l.fronts[:min(3, len(l.fronts))] {
		seeds = append(seeds, netip.AddrPortFrom(f.host, portControl).String())
	}
	s := map[string]any{
		"node": m.name, "role": m.role, "machine_class": class, "serves": serves, "ip": m.host.String(), "zone": m.zone, "region": "region-1", "zones": zones,
		"listen": listen, "internal_ports": []int{portInternal, portInternal + 15}, "seeds": seeds, "bootstrap": m.first, "in_fault_budget": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "announce", "heartbeat_ms": 770,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recover_s": 12, "flow_slack_ms": 2000, "max_flow_s": 60},
		"hash":            "mod", "forwarding_mode": "agent",
		"platform": map[string]any{"address": l.storeAddr, "forwarding_mode": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
	if m.role == "sidecar" {
		s["app"], s["service"] = at(portApp), m.service
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	next := m.settingsPath() + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settingsPath())
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	words := m.lab.commands[m.role]
	cmd := exec.Command(words[0], append(words[1:], extraFlags...)...)
	cmd.Env = []string{"CORIANDERBAY_BOOT=" + m.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + m.lab.directory}
	var err error
	if m.log, err = os.OpenFile(filepath.Join(m.lab.directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.done)
	m.first = false
	m.lab.rec.line("process of %s starts", m.name)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.lab.rec.line("process of %s gets %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (m *machine) terminate() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.done
	}
}

// running reports whether the process runs.
func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// close ends all processes.
func (l *lab) close() {
	for _, m := range l.machines() {
		if m.running() {
			_ = m.process.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("LAB_KEEP") == "" {
		os.RemoveAll(l.directory)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", l.directory)
	}
}

// publishRoutes writes a configuration that leads each route to one service.
func (l *lab) publishRoutes(version int, routes map[netip.AddrPort]string, services ...string) {
	var list, entries []any
	for address, service := range routes {
		list = append(list, map[string]any{
			"name": "r-" + service + fmt.Sprint(address.Port()), "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "type": "non_idempotent",
			"timeout_ms": 2000, "target_latency_ms": 150, "priority": 1, "service": service, "attempts": 2,
		})
	}
	for _, s := range services {
		entries = append(entries, map[string]any{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	l.store.Put("op/config", map[string]any{
		"version": version, "routes": list, "services": entries,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	l.rec.line("configuration %d acknowledged", version)
}

// router selects the front machine for each packet, as PROTOCOL.md describes it.
type router struct {
	lab    *lab
	mu     sync.Mutex
	misses map[*machine]int
	halt   bool
}

func (r *router) run() {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for range time.Tick(500 * time.Millisecond) {
		r.mu.Lock()
		fronts := append([]*machine(nil), r.lab.fronts...)
		r.mu.Unlock()
		for _, m := range fronts {
			go func() {
				resp, err := client.Get("http://" + netip.AddrPortFrom(m.host, portReady).String() + "/api/ready")
				ready := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				before := r.inRotation(m)
				if ready {
					r.misses[m] = 1
				} else if r.misses[m] > 0 {
					r.misses[m]++
				}
				if now := r.inRotation(m); now != before {
					r.lab.rec.line("%s in rotation: %t", m.name, now)
				}
			}()
		}
	}
}

// inRotation reports whether a machine answered one of the last two checks; misses is one more
// than the number of misses since the last answer, and 0 before the first answer.
func (r *router) inRotation(m *machine) bool { return r.misses[m] == 1 || r.misses[m] == 2 }

// pick returns the address for a packet of a client in a zone.
func (r *router) pick(k flowKey, zone string) (netip.AddrPort, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready, far []*machine
	for _, m := range r.lab.fronts {
		if m.zone != zone {
			if r.inRotation(m) {
				far = append(far, m)
			}
			continue
		}
		all = append(all, m)
		if r.inRotation(m) {
			ready = append(ready, m)
		}
	}
	switch {
	case len(ready) == 0 && len(far) > 0:
		ready = far
	case 2*len(ready) < len(all):
		ready = all
	}
	h := fnv.New32a()
	fmt.Fprint(h, k.client, k.route)
	m := ready[int(h.Sum32()>>4)%len(ready)]
	return netip.AddrPortFrom(m.host, portPackets), m.name
}

// awaitReady waits until all front machines are in rotation.
func (l *lab) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		l.router.mu.Lock()
		n := 0
		for _, m := range l.fronts {
			if l.router.inRotation(m) {
				n++
			}
		}
		l.router.mu.Unlock()
		if n == len(l.fronts) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the front machines are not ready after %s", limit)
}
