package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/timer"
)

const (
	maxWatchWait    = time.Minute
	userAgentPrefix = "corianderbay/"
)

// PlatformConfig holds the settings of a Platform. The zero value selects the defaults.
type PlatformConfig struct {
	// Timer is the timer service. Nil selects one on the process clock.
	Timer *timer.Service
}

// PlatformFault is a fault that the platform injects for a reader. The zero value injects none.
type PlatformFault struct {
	// Down aborts each call without a response.
	Down bool `json:"down"`
	// Stale responds with the state at the time the fault was set.
	Stale bool `json:"stale"`
	// Delay is added to each response. In JSON it is in nanoseconds.
	Delay time.Duration `json:"delay"`
}

// PlatformCounts counts the calls to a Platform. A waiting watch is one call.
type PlatformCounts struct {
	// Calls is the number of all calls, including refused ones.
	Calls     uint64 `json:"calls"`
	Reads     uint64 `json:"reads"`
	Watches   uint64 `json:"watches"`
	Instances uint64 `json:"instances"`
	Refused   uint64 `json:"refused"`
	// Waiting is the number of calls without a response yet, such as waiting watches.
	Waiting int `json:"waiting"`
	// Readers is the number of calls by reader name.
	Readers map[string]uint64 `json:"readers"`
}

// platformState is one immutable version of the platform's values and instances.
type platformState struct {
	index     uint64
	values    map[string]configservice.Value
	instances configservice.InstanceList
}

// pinnedFault is a fault with the state that a stale reader receives.
type pinnedFault struct {
	PlatformFault
	state *platformState
}

// Platform simulates the configuration service and the instance list. It is safe
// for concurrent use.
type Platform struct {
	timer *timer.Service

	mu      sync.Mutex
	state   *platformState         // never nil
	faults  map[string]pinnedFault // by reader; "" applies to readers without an entry
	changed chan struct{}          // closed and replaced at each change
	counts  PlatformCounts
}

// NewPlatform returns a Platform without values and with an empty instance list.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.Timer == nil {
		cfg.Timer = timer.New(timer.Config{})
	}
	return &Platform{
		timer:   cfg.Timer,
		state:   &platformState{},
		faults:  make(map[string]pinnedFault),
		changed: make(chan struct{}),
		counts:  PlatformCounts{Readers: make(map[string]uint64)},
	}
}

// SetValue sets one value.
func (p *Platform) SetValue(name string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.state
	next.index++
	next.values = maps.Clone(next.values)
	if next.values == nil {
		next.values = make(map[string]configservice.Value)
	}
	next.values[name] = configservice.Value{Name: name, Index: next.index, Body: body}
	p.state = &next
	p.notify()
}

// Publish publishes the parts of a publication and then its head.
func (p *Platform) Publish(pub configservice.Publication) {
	for _, v := range pub.Parts {
		p.SetValue(v.Name, v.Body)
	}
	p.SetValue(pub.Head.Name, pub.Head.Body)
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances []configservice.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.state
	next.index++
	next.instances = configservice.InstanceList{Index: next.index, Instances: instances}
	p.state = &next
	p.notify()
}

// SetFault sets the fault for the named reader, or for every reader without its
// own fault if reader is empty. The zero fault removes it.
func (p *Platform) SetFault(reader string, f PlatformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == (PlatformFault{}) {
		delete(p.faults, reader)
	} else {
		p.faults[reader] = pinnedFault{PlatformFault: f, state: p.state}
	}
	p.notify()
}

// Counts returns the calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Readers = maps.Clone(c.Readers)
	return c
}

// Handler returns the HTTP handler that processes of the load balancer read from.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", p.serveValue)
	mux.HandleFunc("GET /v1/instances", p.serveInstances)
	return mux
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// view returns the state for a reader, its fault and the channel that is closed at the next change.
func (p *Platform) view(reader string) (*platformState, PlatformFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.faults[reader]
	if !ok {
		f = p.faults[""]
	}
	if f.Stale {
		return f.state, f.PlatformFault, p.changed
	}
	return p.state, f.PlatformFault, p.changed
}

func (p *Platform) updateCounts(change func(c *PlatformCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	st := p.waitForChange(r, func(st *platformState) uint64 { return st.values[name].Index })
	v, ok := st.values[name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case unchanged(r, v.Index):
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(configservice.IndexHeader, strconv.FormatUint(v.Index, 10))
		_, _ = w.Write(v.Body)
	}
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *PlatformCounts) { c.Instances++ })
	st := p.waitForChange(r, func(st *platformState) uint64 { return st.instances.Index })
	if unchanged(r, st.instances.Index) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set(configservice.IndexHeader, strconv.FormatUint(st.instances.Index, 10))
	list := st.instances
	if list.Instances == nil {
		list.Instances = []configservice.Instance{} // an empty list, not null
	}
	_ = json.NewEncoder(w).Encode(list)
}

// waitForChange returns the state for the response: immediately for a read, and
// for a watch when index differs from the index in the request or the wait of the
// request has elapsed.
func (p *Platform) waitForChange(r *http.Request, index func(*platformState) uint64) *platformState {
	reader := strings.TrimPrefix(r.UserAgent(), userAgentPrefix)
	lastIndex, wait := watchParams(r)
	p.countCall(reader, wait > 0)
	defer p.updateCounts(func(c *PlatformCounts) { c.Waiting-- })
	sub := p.timer.After(wait)
	defer sub.Stop()
	for expired := wait == 0; ; {
		st, f, changed := p.view(reader)
		if f.Down {
			p.updateCounts(func(c *PlatformCounts) { c.Refused++ })
			panic(http.ErrAbortHandler)
		}
		if expired || index(st) != lastIndex {
			_ = p.timer.Sleep(r.Context(), f.Delay)
			return st
		}
		select {
		case <-changed:
		case <-sub.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
	}
}

func (p *Platform) countCall(reader string, watch bool) {
	p.updateCounts(func(c *PlatformCounts) {
		c.Calls++
		c.Waiting++
		c.Readers[reader]++
		if watch {
			c.Watches++
		} else {
			c.Reads++
		}
	})
}

func watchParams(r *http.Request) (index uint64, wait time.Duration) {
	q := r.URL.Query()
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait < 0 {
		return 0, 0
	}
	index, _ = strconv.ParseUint(q.Get("index"), 10, 64)
	return index, min(wait, maxWatchWait)
}

func unchanged(r *http.Request, index uint64) bool {
	lastIndex, wait := watchParams(r)
	return wait > 0 && lastIndex == index
}
