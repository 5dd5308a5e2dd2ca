package limit

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// FlowLimiterConfig holds the settings of a Callers. The zero value selects the defaults.
type FlowLimiterConfig struct {
	// Shards is a power of two. Zero selects 16.
	Shards int
	// MaxPrefixes is how many caller prefixes are held over all shards. Those that
	// find no room share one bucket a shard. Zero selects 65,536.
	MaxPrefixes int
	// Headroom is the share above its part of a limit that one balancer lets
	// through, because the fabric does not spray evenly, from 0 to 1. Zero
	// selects 0.1.
	Headroom float64
	// Burst is the time over which unused flows are saved up. Zero selects 1 s.
	Burst time.Duration
	// RetryAfter says when refused callers come back.
	RetryAfter RetryAfter
}

const (
	defaultShards   = 16
	defaultPrefixes = 65_536
	defaultHeadroom = 0.1
	defaultBurst    = time.Second
)

// FlowLimiter bounds the new flows of each service and of each caller prefix at
// one balancer. Balancers share no state: each takes the limit divided by the
// number of live balancers, plus the headroom. It is safe for concurrent use,
// but for the random source, which the caller guards.
type FlowLimiter struct {
	cfg       FlowLimiterConfig // fixed after NewFlowLimiter
	balancers atomic.Int64      // live balancers, at least 1
	shards    []callerShard     // length is a power of two, fixed after NewFlowLimiter

	mu       sync.RWMutex
	services map[bundle.ServiceID]*serviceBucket
}

// NewFlowLimiter returns a Callers of the only balancer. It reports *ConfigError
// when cfg.Shards is not a power of two.
func NewFlowLimiter(cfg FlowLimiterConfig) (*FlowLimiter, error) {
	cfg = cfg.withDefaults()
	if cfg.Shards < 1 || cfg.Shards&(cfg.Shards-1) != 0 {
		return nil, &ConfigError{Field: "Shards", Value: cfg.Shards}
	}
	c := &FlowLimiter{
		cfg:      cfg,
		shards:   make([]callerShard, cfg.Shards),
		services: make(map[bundle.ServiceID]*serviceBucket),
	}
	for i := range c.shards {
		c.shards[i] = newCallerShard(max(cfg.MaxPrefixes/cfg.Shards, 1))
	}
	c.balancers.Store(1)
	return c, nil
}

func (c FlowLimiterConfig) withDefaults() FlowLimiterConfig {
	if c.Shards == 0 {
		c.Shards = defaultShards
	}
	if c.MaxPrefixes == 0 {
		c.MaxPrefixes = defaultPrefixes
	}
	if c.Headroom == 0 {
		c.Headroom = defaultHeadroom
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	return c
}

// SetBalancers sets the number of live balancers, this one included. A number
// below 1 counts as 1.
func (c *FlowLimiter) SetBalancers(n int) {
	c.balancers.Store(int64(max(n, 1)))
}

// Admit counts one new flow of a caller and reports whether it may be
// forwarded. When it returns false, the refusal says why and when to come back.
func (c *FlowLimiter) Admit(s bundle.ServiceID, l bundle.Limit, caller netip.Addr, now time.Time, rnd RandSource) (Refusal, bool) {
	if l.Rate == 0 && l.Prefix == 0 {
		return Refusal{}, true
	}
	key := newCallerKey(s, l, caller)
	service := c.service(s)
	shard := &c.shards[key.hash()&uint64(len(c.shards)-1)]
	bounds := bounds{
		prefix:  c.part(l.Prefix),
		fair:    service.fair(c.part(l.Rate), now),
		service: c.part(l.Rate),
	}
	if wait, ok := shard.prefix(key, bounds, now, service); !ok {
		return c.refuse(ReasonPrefix, wait, rnd), false
	}
	return c.admitService(service, shard, key, bounds, now, rnd)
}

// admitService takes a flow from the service's bucket. Once less than half of
// the bucket is left, only prefixes below their fair share take from it.
func (c *FlowLimiter) admitService(service *serviceBucket, shard *callerShard, key callerKey, b bounds, now time.Time, rnd RandSource) (Refusal, bool) {
	if b.service.rate == 0 {
		return Refusal{}, true
	}
	below := shard.fair(key, b, now)
	if !below && service.scarce(b.service, now) {
		return c.refuse(ReasonFairShare, 0, rnd), false
	}
	if wait, ok := service.take(b.service, now); !ok {
		return c.refuse(ReasonRate, wait, rnd), false
	}
	return Refusal{}, true
}

// PrefixCount returns how many caller prefixes are held.
func (c *FlowLimiter) PrefixCount() int {
	n := 0
	for i := range c.shards {
		n += c.shards[i].len()
	}
	return n
}

// part returns this balancer's part of a limit over the whole fleet.
func (c *FlowLimiter) part(fleet float64) bound {
	rate := fleet * (1 + c.cfg.Headroom) / float64(c.balancers.Load())
	return newBound(rate, c.cfg.Burst)
}

func (c *FlowLimiter) service(s bundle.ServiceID) *serviceBucket {
	c.mu.RLock()
	b, ok := c.services[s]
	c.mu.RUnlock()
	if ok {
		return b
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, ok := c.services[s]; ok {
		return b
	}
	b = &serviceBucket{}
	c.services[s] = b
	return b
}

// Retain drops the buckets of services that are not in keep.
func (c *FlowLimiter) Retain(keep map[bundle.ServiceID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.services {
		if !keep[s] {
			delete(c.services, s)
		}
	}
}

func (c *FlowLimiter) refuse(r Reason, wait time.Duration, rnd RandSource) Refusal {
	return Refusal{Reason: r, RetryAfter: c.cfg.RetryAfter.Draw(wait, rnd)}
}
