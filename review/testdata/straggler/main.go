// Command straggler shows packets of open flows at upstreams that do not hold them while
// callers move between zones and two sidecars freeze. It starts the balancers and
// sidecars with the commands of the deploy file, and stands in for the store, the routers,
// the upstreams and the callers.
//
// It exits with 1 when clause (b) of FLOW was broken, with 0 when it held, and with 2 when
// the case could not run.
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
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

const (
	startTime  = 5 * time.Second // until callers open flows
	calmTime   = 6 * time.Second // until callers move; longer than stable_window_ms
	freezeTime = 850 * time.Millisecond
	// freezeLead is how long before the first move the sidecars freeze.
	freezeLead = 50 * time.Millisecond
	// stayTime is how long callers are in the zone that they move to first.
	stayTime = 350 * time.Millisecond
	// pauseTime is the pause of the callers before the last move.
	pauseTime = 3500 * time.Millisecond
	// flowCount is the number of flows of the callers.
	flowCount = 60
)

// home is the zone in which callers open their flows.
const home = "heredia"

// visits are the zones that callers move to, in this order.
var visits = []string{"sanjose", "cartago", "alajuela"}

var (
	errRun  = errors.New("the case could not run")
	address = netip.MustParseAddrPort("198.18.0.1:8443")
	ports   = standin.DefaultPorts
	network byte // second octet of all addresses

	zones       = []string{"sanjose", "heredia", "cartago", "alajuela"}
	balancersOf = map[string]int{"sanjose": 2, "heredia": 2, "cartago": 1, "alajuela": 1}
)

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	rec := newRecord()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := play(ctx, rec, os.Getenv("TROUBLE") != "0")
	if writeErr := rec.write(*path); err == nil && writeErr != nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Println(err)
		os.Exit(2)
	case broken > 0:
		fmt.Printf("broken: %d of %d open flows\n", broken, flowCount)
		os.Exit(1)
	}
	fmt.Printf("held for %d open flows\n", flowCount)
}

// selectNetwork selects addresses that no other run uses, and returns the listener of the store.
func selectNetwork() (net.Listener, error) {
	for n := range 100 {
		network = byte(100 + (os.Getpid()+n)%100)
		if l, err := net.Listen("tcp4", host(4, 1, "store", "", "").AddrPort(ports.Ready).String()); err == nil {
			return l, nil
		}
	}
	return nil, errRun
}

func host(kind, n int, name, zone, service string) standin.Host {
	return standin.Host{
		Name:       name + "-" + strconv.Itoa(n),
		Address:    netip.AddrFrom4([4]byte{127, network, byte(kind), byte(n)}),
		DataCentre: zone,
		Service:    service,
		Ports:      ports,
	}
}

// play runs the case and returns the number of flows for which the rule was broken.
func play(ctx context.Context, rec *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "straggler")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	l, err := selectNetwork()
	if err != nil {
		return 0, err
	}
	defer l.Close()
	store := standin.NewStore()
	go func() { _ = http.Serve(l, store) }()
	store.PublishRoutes(7, 15*time.Second,
		standin.Route{Address: address, Service: "taller-link", Idempotent: true},
		standin.Route{Address: netip.MustParseAddrPort("198.18.0.2:8443"), Service: "arte-pull", Idempotent: true})
	f := fleet{dir: dir, store: netip.MustParseAddrPort(l.Addr().String())}
	defer f.kill()
	routers := make(map[string][]standin.Host)
	var seeds []standin.Host
	for _, zone := range zones {
		for range balancersOf[zone] {
			h := host(1, len(seeds)+1, "front", zone, "")
			routers[zone] = append(routers[zone], h)
			seeds = append(seeds, h)
		}
	}
	for _, h := range seeds {
		if _, err := f.add(h, seeds[:3], "platform", "balancer", "--standby", "--placing", "time"); err != nil {
			return 0, err
		}
	}
	n := 0
	var frozen []*process // one sidecar of each of the first two zones that callers move to
	for _, zone := range zones {
		for i, service := range []string{"taller-link", "taller-link", "arte-pull"} {
			n++
			h := host(2, n, "side", zone, service)
			p, err := f.add(h, seeds[:3], "platform", "sidecar", "--placing", "time")
			if err != nil {
				return 0, err
			}
			if i == 0 && slices.Contains(visits[:2], zone) {
				frozen = append(frozen, p)
			}
			if err := startUpstream(ctx, fmt.Sprintf("u%d", n), h, rec, store); err != nil {
				return 0, err
			}
		}
	}
	if err := sleep(ctx, startTime); err != nil {
		return 0, err
	}
	c, err := startCallers(host(3, 1, "caller", home, ""), routers, rec)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, calmTime-freezeLead); err != nil {
		return 0, err
	}
	if trouble {
		for _, p := range frozen {
			freeze(p, rec)
		}
	}
	for i, wait := range []time.Duration{freezeLead, stayTime, pauseTime} {
		if err := sleep(ctx, wait); err != nil {
			return 0, err
		}
		c.moveTo(visits[i])
	}
	c.wait()
	rec.note("%d requests answered", rec.answered())
	if rec.answered() == 0 {
		return 0, fmt.Errorf("%w: no request was answered", errRun)
	}
	return rec.broken(), nil
}

// freeze stops a process for freezeTime.
func freeze(p *process, rec *record) {
	rec.note("%s freezes", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		rec.note("%s wakes", p.name)
	})
}

// sleep waits for d, or returns the error of ctx when that is done first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
