package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Route sends the flows to an address to a service.
type Route struct {
	Address netip.AddrPort
	Service string
	// Unsafe is true when requests may run at most once.
	Unsafe bool
}

// PutConfig writes a version of the configuration with one service.
func (l *Lab) PutConfig(version int, service string, warmupPerSecond float64, routes ...Route) {
	var list []any
	for i, r := range routes {
		kind := "idempotent"
		if r.Unsafe {
			kind = "non_idempotent"
		}
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "host": r.Address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()), "type": kind,
			"timeout_ms": 1000, "target_latency_ms": 120, "priority": 1, "service": r.Service, "attempts": 2,
		})
	}
	l.Store.Put("op/config", map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
			"warmup_s": l.cfg.WarmupSeconds, "warmup_per_s": warmupPerSecond,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 12000},
	})
	l.Record("store accepted op/config version %d", version)
}

// FreshLoad opens a flow for each request for a time and waits for the last answer. It returns
// the requests that were not answered.
func (l *Lab) FreshLoad(c *Client, route netip.AddrPort, rate float64, duration time.Duration) (unanswered []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	due := time.Now()
	end := due.Add(duration)
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if due.After(end) {
			break
		}
		time.Sleep(time.Until(due))
		id := fmt.Sprintf("%s-%d", c.host.DataCentre, n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := l.Since()
			err := c.once(route, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, id)
				l.Record("request %s, sent at %.3f: %v", id, sent.Seconds(), err)
			} else {
				answered++
				l.Record("request %s, sent at %.3f, was answered", id, sent.Seconds())
			}
		}()
	}
	wg.Wait()
	l.Record("clients: %d requests were answered, %d were not", answered, len(unanswered))
	return unanswered
}

// once sends one request on a flow of its own.
func (c *Client) once(route netip.AddrPort, id string) error {
	f, err := c.Open(route)
	if err != nil {
		return err
	}
	answer, err := f.Request(id, time.Second)
	if err != nil {
		return err
	}
	f.Close()
	if !AnswersTo(answer, id) {
		return fmt.Errorf("the answer belongs to another request: %q", answer)
	}
	return nil
}
