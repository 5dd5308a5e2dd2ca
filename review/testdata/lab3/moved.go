package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"
)

// playMoved gives the store another address, tells it by the settings files and SIGHUP, and
// changes the configuration later.
func playMoved(rec *record, trouble bool) ([]string, error) {
	l, err := newLab(rec, "zone-a", "zone-b")
	if err != nil {
		return nil, err
	}
	defer l.close()
	for _, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		l.addFront(zone)
	}
	for _, service := range []string{serviceA, serviceB} {
		l.addSide("zone-a", service)
		l.addSide("zone-b", service)
	}
	if err := l.startAll(map[netip.AddrPort]string{routeA: serviceA}, serviceA, serviceB); err != nil {
		return nil, err
	}
	c, err := l.startClient(l.host(kindClient, 1), "zone-a")
	if err != nil {
		return nil, err
	}
	if _, err := c.openMany(6, "before"); err != nil {
		return nil, err
	}
	old := l.server
	if trouble {
		if err := l.serveStore(2); err != nil {
			return nil, err
		}
		rec.line("the store is also at %s", l.storeAddr)
	}
	machines := l.machines()
	for _, m := range machines {
		if err := m.writeSettings(); err != nil {
			return nil, err
		}
	}
	rec.line("the settings files are written")
	rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	signalled := machines[:len(machines)*6/10] // the files of the others change without a signal
	for _, m := range signalled {
		m.signal(syscall.SIGHUP)
		time.Sleep(2 * time.Second / time.Duration(len(signalled)))
	}
	time.Sleep(10 * time.Second)
	if trouble {
		old.Close()
		rec.line("the store is no longer at its former address")
	}
	time.Sleep(10 * time.Second)
	l.publishRoutes(2, map[netip.AddrPort]string{routeA: serviceB}, serviceA, serviceB)
	acknowledged := time.Now()
	time.Sleep(applyBound + 12*time.Second + time.Second) // config_apply_ms and max_skew_ms
	for i := range 12 {
		sentAt := time.Now()
		id := fmt.Sprintf("after-%d", i)
		f, err := c.openFlow(routeA, 0)
		if err != nil {
			return nil, err
		}
		if _, err := f.request(id, "work=5&size=100", 3*time.Second); err != nil {
			return nil, err
		}
		for _, b := range l.backends {
			if b.holds(f.key) && b.service != serviceB {
				l.fault("CONFIG", "request %s, sent %.1f s after version 2 was acknowledged, ran at service %s, which only version 1 allows", id, sentAt.Sub(acknowledged).Seconds(), b.service)
			}
		}
	}
	return l.faults, nil
}
