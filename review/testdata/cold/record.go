package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

// opening is an opening that an upstream took, with the time at which its caller sent the
// last copy before.
type opening struct{ sent, arrived time.Time }

// record collects what callers sent and got, and what upstreams took and ran.
type record struct {
	begin time.Time

	mu       sync.Mutex
	lines    []string
	lastSent map[steer.Key]time.Time
	cold     map[string][]opening // openings that upstreams took while they were cold
	served   int
}

func newRecord() *record {
	return &record{begin: time.Now(), lastSent: make(map[steer.Key]time.Time), cold: make(map[string][]opening)}
}

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.begin).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) sent(k steer.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSent[k] = time.Now()
	r.noteLocked("opening of port %d sent", k.Caller.Port)
}

func (r *record) took(k steer.Key, upstream string, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cold {
		r.cold[upstream] = append(r.cold[upstream], opening{sent: r.lastSent[k], arrived: time.Now()})
	}
	r.noteLocked("opening of port %d taken by %s, cold %t", k.Caller.Port, upstream, cold)
}

func (r *record) ran(id, upstream string) { r.note("request %s runs at %s", id, upstream) }

func (r *record) refused(id string) { r.note("request %s: the flow did not open", id) }

func (r *record) answer(id, text string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.served++
	}
	status, _, _ := strings.Cut(text, "\r\n")
	r.noteLocked("request %s answered: %s", id, status)
}

func (r *record) answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

// worst returns the most openings that a cold upstream took in one second: those that were
// sent and arrived inside it.
func (r *record) worst() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := 0
	for id, list := range r.cold {
		n, from := most(list)
		r.noteLocked("cold upstream %s took %d openings, at most %d in one second, from %.3f; %d are allowed", id, len(list), n, from.Sub(r.begin).Seconds(), allowed)
		worst = max(worst, n)
	}
	return worst
}

// most returns the most openings that were sent and arrived inside one second, and when it
// began.
func most(list []opening) (n int, from time.Time) {
	slices.SortFunc(list, func(a, b opening) int { return a.sent.Compare(b.sent) })
	for i := range list {
		count, end := 0, list[i].sent.Add(time.Second)
		for _, o := range list[i:] {
			if !o.arrived.After(end) {
				count++
			}
		}
		if count > n {
			n, from = count, list[i].sent
		}
	}
	return n, from
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
