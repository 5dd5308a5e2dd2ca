// Command cold counts the openings that cold upstreams take while one of their sidecars is
// restarted. It starts the balancers and sidecars with the commands of the deploy file, and
// stands in for the store, the routers, the upstreams and the callers.
//
// It exits with 1 when an upstream took more openings in one second than the rule allows,
// with 0 when none did, and with 2 when the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

const (
	balancerCount = 2
	upstreamCount = 3

	coldRate  = 20.0 // warmup_per_s of the service
	overshoot = 1.5  // bounds.warmup_overshoot
	slack     = 5.0  // bounds.warmup_slack
	// allowed is the most openings that a cold upstream may get in one second.
	allowed = int(coldRate*overshoot + slack)
	// warmTime is how long an upstream stays cold after its start.
	warmTime = 20 * time.Second

	startTime    = 4 * time.Second         // until traffic begins
	calmTime     = 4 * time.Second         // until the upstreams go down
	downTime     = 4500 * time.Millisecond // for_s of cold_return in the site file
	coldTime     = 3 * time.Second         // until the sidecar is restarted
	restartDelay = 200 * time.Millisecond  // until the platform starts a process again
	loadTime     = 17 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

var (
	errRun  = errors.New("the case could not run")
	address = netip.MustParseAddrPort("198.18.0.1:8443")
	ports   = standin.DefaultPorts
	network byte // second octet of all addresses
)

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	rec := newRecord()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	worst, err := play(ctx, rec, os.Getenv("TROUBLE") != "0")
	if writeErr := rec.write(*path); err == nil && writeErr != nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Println(err)
		os.Exit(2)
	case worst > allowed:
		fmt.Printf("broken: a cold upstream took %d openings in one second, %d are allowed\n", worst, allowed)
		os.Exit(1)
	}
	fmt.Printf("held: a cold upstream took %d openings in one second, %d are allowed\n", worst, allowed)
}

// selectNetwork selects addresses that no other run uses, and returns the listener of the store.
func selectNetwork() (net.Listener, error) {
	for n := range 100 {
		network = byte(100 + (os.Getpid()+n)%100)
		if l, err := net.Listen("tcp4", host(4, 1, "store", "").AddrPort(ports.Ready).String()); err == nil {
			return l, nil
		}
	}
	return nil, errRun
}

// host returns a host of the deployment, which has one data centre.
func host(kind, n int, name, service string) standin.Host {
	return standin.Host{
		Name:       name + "-" + strconv.Itoa(n),
		Address:    netip.AddrFrom4([4]byte{127, network, byte(kind), byte(n)}),
		DataCentre: "dc-1",
		Service:    service,
		Ports:      ports,
	}
}

// play runs the case and returns the most openings that a cold upstream took in one second.
func play(ctx context.Context, rec *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "cold")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	l, err := selectNetwork()
	if err != nil {
		return 0, err
	}
	defer l.Close()
	go func() { _ = http.Serve(l, store) }()
	publishRoutes(store)
	f := fleet{dir: dir, store: netip.MustParseAddrPort(l.Addr().String())}
	defer f.kill()
	var hosts []standin.Host
	for n := range balancerCount {
		hosts = append(hosts, host(1, n+1, "balancer", ""))
	}
	for _, h := range hosts {
		if err := f.add(h, hosts, "platform", "balancer", "--standby", "--placing", "time"); err != nil {
			return 0, err
		}
	}
	u := upstreams{rec: rec, store: store}
	for n := range upstreamCount {
		h := host(2, n+1, "sidecar", "booking")
		if err := f.add(h, hosts, "platform", "sidecar", "--placing", "time"); err != nil {
			return 0, err
		}
		u.hosts = append(u.hosts, h)
	}
	if err := u.start(0); err != nil {
		return 0, err
	}
	if err := sleep(ctx, startTime); err != nil {
		return 0, err
	}
	c, err := startCallers(host(3, 1, "caller", ""), hosts, rec)
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	if err := sleep(ctx, calmTime); err != nil {
		return 0, err
	}
	u.stop()
	if err := sleep(ctx, downTime); err != nil {
		return 0, err
	}
	if err := u.start(warmTime); err != nil {
		return 0, err
	}
	if err := sleep(ctx, coldTime); err != nil {
		return 0, err
	}
	if trouble {
		if err := f.restartSidecar(rec); err != nil {
			return 0, err
		}
	}
	if err := sleep(ctx, time.Until(begin.Add(loadTime))); err != nil {
		return 0, err
	}
	c.stop()
	u.stop()
	if rec.answered() == 0 {
		return 0, fmt.Errorf("%w: no request was answered", errRun)
	}
	return rec.worst(), nil
}

// publishRoutes writes the configuration.
func publishRoutes(store *standin.Store) {
	store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-book", "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "type": "non_idempotent",
			"timeout_ms": 2000, "target_latency_ms": 400, "priority": 1, "service": "booking", "attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "booking", "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
			"warmup_s": warmTime.Seconds(), "warmup_per_s": coldRate,
		}},
		"limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }

// sleep waits for d, or returns the error of ctx when that is done first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
