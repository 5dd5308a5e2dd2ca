package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

const (
	flowSlack    = 2 * time.Second // flow_slack_ms
	maxElsewhere = 2               // "three or more of the flow's packets"
)

// record collects what callers sent and got, what upstreams ran, and where packets of open
// flows arrived.
type record struct {
	begin time.Time

	mu     sync.Mutex
	lines  []string
	flows  map[steer.Key]*arrivals
	served int
}

// arrivals are the packets of an open flow that reached other upstreams since the last one
// at its own.
type arrivals struct {
	own         string // upstream that holds the flow
	elsewhere   int
	packets     map[uint32]bool // sequence numbers of those elsewhere
	first, last time.Time
	broken      bool
}

func newRecord() *record {
	return &record{begin: time.Now(), flows: make(map[steer.Key]*arrivals)}
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

// arrived records that a packet after the opening reached an upstream, which holds its flow
// or does not. The rule is broken when three or more packets reached other upstreams, the
// last one flowSlack or more after the first, and none the own one between.
func (r *record) arrived(k steer.Key, sequence uint32, upstream string, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[k]
	if own {
		r.flows[k] = &arrivals{own: upstream, packets: make(map[uint32]bool), broken: f != nil && f.broken}
		r.noteLocked("packet %d of port %d reaches its own %s", sequence, k.Caller.Port, upstream)
		return
	}
	if f == nil {
		return // not open yet
	}
	now := time.Now()
	if f.elsewhere == 0 {
		f.first = now
	}
	f.elsewhere++
	f.packets[sequence] = true
	f.last = now
	r.noteLocked("packet %d of port %d, held by %s, reaches %s", sequence, k.Caller.Port, f.own, upstream)
	if len(f.packets) > maxElsewhere && now.Sub(f.first) >= flowSlack && !f.broken {
		f.broken = true
		r.noteLocked("FLOW: for %v %d packets of port %d, in %d copies, reached other upstreams and none %s", now.Sub(f.first).Round(time.Millisecond), len(f.packets), k.Caller.Port, f.elsewhere, f.own)
	}
}

func (r *record) ran(id, upstream string) { r.note("request %s runs at %s", id, upstream) }

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

// broken returns the number of flows for which the rule was broken.
func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.flows {
		if f.broken {
			n++
		}
	}
	return n
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
