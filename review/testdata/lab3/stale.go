package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// routeA is the route of the clients, and serviceA and serviceB are services.
var routeA = netip.MustParseAddrPort("127.250.0.1:8443")

const (
	serviceA = "kodi31a"
	serviceB = "sume77b"
)

// staleFlows is the number of flows of the client.
const staleFlows = 24

// playStale moves clients to another zone, where they close their flows and open new ones, and
// then takes a backend away that held some of the former ones.
func playStale(rec *record, trouble bool) ([]string, error) {
	l, err := newLab(rec, "zone-a", "zone-b")
	if err != nil {
		return nil, err
	}
	defer l.close()
	for _, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		l.addFront(zone)
	}
	for range 4 { // one of eight is what the sheet's scale_in takes
		l.addSide("zone-a", serviceA)
		l.addSide("zone-b", serviceA)
	}
	if err := l.startAll(map[netip.AddrPort]string{routeA: serviceA}, serviceA); err != nil {
		return nil, err
	}
	c, err := l.startClient(l.host(kindClient, 1), "zone-a")
	if err != nil {
		return nil, err
	}
	flows, err := c.openMany(staleFlows, "first")
	if err != nil {
		return nil, err
	}
	other, err := l.startClient(l.host(kindClient, 2), "zone-a") // the half of the clients that stays
	if err != nil {
		return nil, err
	}
	stay := make(chan struct{})
	go other.keepBusy(stay)
	defer close(stay)
	if trouble {
		c.move("zone-b")
	}
	time.Sleep(500 * time.Millisecond)
	for i, f := range flows {
		if _, err := f.request(fmt.Sprintf("moved-%d", i), "work=5&size=100", 3*time.Second); err != nil {
			return nil, err
		}
	}
	leaving := l.backends[0]
	leaving.drain()
	drained := time.Now()
	time.Sleep(300 * time.Millisecond)
	var free []uint16
	for i, f := range flows { // the leaving backend closes its flows after this request
		if _, err := f.request(fmt.Sprintf("drain-%d", i), "work=5&size=100", 3*time.Second); err != nil {
			return nil, err
		}
		if f.awaitFIN(30 * time.Millisecond) {
			f.close()
			free = append(free, f.key.client.Port())
		}
	}
	rec.line("%d flows were closed by %s", len(free), leaving.id)
	if len(free) == 0 {
		return nil, fmt.Errorf("no flow was at %s", leaving.id)
	}
	time.Sleep(500 * time.Millisecond)
	var second []*flow
	for i, port := range free {
		f, err := c.openFlow(routeA, port)
		if err != nil {
			return nil, err
		}
		if _, err := f.request(fmt.Sprintf("second-%d", i), "work=5&size=100", 3*time.Second); err != nil {
			return nil, err
		}
		second = append(second, f)
	}
	time.Sleep(time.Until(drained.Add(drainBound + 1500*time.Millisecond)))
	leaving.exit()
	l.sides[0].signal(syscall.SIGTERM)
	if trouble {
		c.move("zone-a")
	}
	var wg sync.WaitGroup
	for i, f := range second {
		wg.Go(func() { // failures are in the record; resets are judged as they arrive
			time.Sleep(time.Duration(5+15*i) * time.Millisecond)
			_, _ = f.request(fmt.Sprintf("back-%d", i), "work=5&size=100", 3*time.Second)
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	return l.faults, nil
}

// startAll publishes version 1 of the routes, and starts all backends and processes.
func (l *lab) startAll(routes map[netip.AddrPort]string, services ...string) error {
	l.publishRoutes(1, routes, services...)
	for i, m := range l.sides {
		b, err := l.startBackend(fmt.Sprintf("i-%02d", i+1), m.service, m.zone, m.host)
		if err != nil {
			return err
		}
		l.backends = append(l.backends, b)
	}
	for _, m := range l.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // stable_window_ms
	return nil
}

// openMany opens flows and sends one request on each.
func (c *client) openMany(n int, name string) ([]*flow, error) {
	var flows []*flow
	for i := range n {
		f, err := c.openFlow(routeA, 0)
		if err != nil {
			return nil, fmt.Errorf("flow %d of the %s ones: %w", i, name, err)
		}
		if _, err := f.request(fmt.Sprintf("%s-%d", name, i), "work=5&size=100", 3*time.Second); err != nil {
			return nil, fmt.Errorf("request on flow %d of the %s ones: %w", i, name, err)
		}
		flows = append(flows, f)
	}
	return flows, nil
}

// keepBusy opens one flow after the other and sends requests on each.
func (c *client) keepBusy(stop <-chan struct{}) {
	for i := 0; ; i++ {
		f, err := c.openFlow(routeA, 0)
		for n := 0; err == nil && n < 10; n++ {
			_, err = f.request(fmt.Sprintf("stay-%d-%d", i, n), "work=5&size=100", 3*time.Second)
			if f.awaitFIN(50 * time.Millisecond) {
				break
			}
		}
		if err == nil {
			f.close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
