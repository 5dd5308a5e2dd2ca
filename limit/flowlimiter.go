package limit

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
)

// FlowLimiterConfig configures a FlowLimiter. The zero value selects the defaults.
type FlowLimiterConfig struct {
	// Shards is the number of shards, a power of two. Zero selects 16.
	Shards int
	// MaxPrefixes is the number of caller prefixes tracked in all shards together.
	// Further prefixes share one entry per shard. Zero selects 65,536.
	MaxPrefixes int
	// Headroom is the fraction, from 0 to 1, by which one balancer may exceed its
	// portion of a limit, because the fabric does not spread flows evenly. Zero
	// selects 0.1.
	Headroom float64
	// Burst is the time over which unused tokens accumulate. Zero selects 1 s.
	Burst time.Duration
	// RetryAfter is the distribution of the retry-after times of refusals.
	RetryAfter RetryAfter
}

const (
	defaultShards      = 16
	defaultMaxPrefixes = 65_536
	defaultHeadroom    = 0.1
	defaultBurst       = time.Second
)

// FlowLimiter limits the rate of new flows per service and per caller prefix at
// one balancer. Balancers share no state: each applies the limit divided by the
// number of live balancers, plus the headroom. FlowLimiter is safe for
// concurrent use, except for the random source, which the caller must synchronize.
type FlowLimiter struct {
	cfg       FlowLimiterConfig // fixed after NewFlowLimiter
	balancers atomic.Int64      // live balancers, at least 1
	shards    []prefixShard     // the length is a power of two; fixed after NewFlowLimiter

	mu       sync.RWMutex
	services map[bundle.ServiceID]*serviceBucket
}

// NewFlowLimiter returns a FlowLimiter for a single live balancer. It returns
// *ConfigError when cfg.Shards is not a power of two.
func NewFlowLimiter(cfg FlowLimiterConfig) (*FlowLimiter, error) {
	cfg = cfg.withDefaults()
	if cfg.Shards < 1 || cfg.Shards&(cfg.Shards-1) != 0 {
		return nil, &ConfigError{Field: "Shards", Value: cfg.Shards}
	}
	f := &FlowLimiter{
		cfg:      cfg,
		shards:   make([]prefixShard, cfg.Shards),
		services: make(map[bundle.ServiceID]*serviceBucket),
	}
	for i := range f.shards {
		f.shards[i] = newPrefixShard(max(cfg.MaxPrefixes/cfg.Shards, 1))
	}
	f.balancers.Store(1)
	return f, nil
}

func (c FlowLimiterConfig) withDefaults() FlowLimiterConfig {
	if c.Shards == 0 {
		c.Shards = defaultShards
	}
	if c.MaxPrefixes == 0 {
		c.MaxPrefixes = defaultMaxPrefixes
	}
	if c.Headroom == 0 {
		c.Headroom = defaultHeadroom
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	return c
}

// SetBalancers sets the number of live balancers, including this one. Values
// below 1 count as 1.
func (f *FlowLimiter) SetBalancers(n int) {
	f.balancers.Store(int64(max(n, 1)))
}

// Admit counts one new flow of a caller and reports whether it may be
// forwarded. The rates of l apply to all balancers together. When it returns false, the refusal holds the reason and the
// retry-after time.
func (f *FlowLimiter) Admit(s bundle.ServiceID, l bundle.Limit, caller netip.Addr, now time.Time, rnd RandSource) (Refusal, bool) {
	if l.Rate == 0 && l.Prefix == 0 {
		return Refusal{}, true
	}
	key := newPrefixKey(s, l, caller)
	service := f.bucketOf(s)
	shard := &f.shards[key.hash()&uint64(len(f.shards)-1)]
	limits := flowLimits{
		prefix:    f.localLimit(l.Prefix),
		fairShare: service.fairShareLimit(f.localLimit(l.Rate), now),
		service:   f.localLimit(l.Rate),
	}
	if wait, ok := shard.takePrefix(key, limits, now, service); !ok {
		return f.refuse(ReasonPrefix, wait, rnd), false
	}
	return f.admitService(service, shard, key, limits, now, rnd)
}

// admitService takes a token from the service's bucket. While the bucket is
// below fairShareThreshold, only prefixes within their fair share are admitted.
func (f *FlowLimiter) admitService(service *serviceBucket, shard *prefixShard, key prefixKey, limits flowLimits, now time.Time, rnd RandSource) (Refusal, bool) {
	if limits.service.rate == 0 {
		return Refusal{}, true
	}
	withinShare := shard.takeFairShare(key, limits, now)
	if !withinShare && service.belowThreshold(limits.service, now) {
		return f.refuse(ReasonFairShare, 0, rnd), false
	}
	if wait, ok := service.take(limits.service, now); !ok {
		return f.refuse(ReasonRate, wait, rnd), false
	}
	return Refusal{}, true
}

// WithinFairShare counts one new flow of a caller and reports whether its prefix is
// within an equal share of perSecond, the new flows per second of the service at this
// balancer. bits is the length of IPv4 prefixes; 0 selects 24. Unlike Admit it refuses
// nothing: the caller decides what happens to flows above the share.
func (f *FlowLimiter) WithinFairShare(s bundle.ServiceID, perSecond float64, bits int, caller netip.Addr, now time.Time) bool {
	key := newPrefixKey(s, bundle.Limit{Bits: bits}, caller)
	service := f.bucketOf(s)
	shard := &f.shards[key.hash()&uint64(len(f.shards)-1)]
	limits := flowLimits{fairShare: service.fairShareLimit(newBucketLimit(perSecond, f.cfg.Burst), now)}
	shard.takePrefix(key, limits, now, service)
	return shard.takeFairShare(key, limits, now)
}

// PrefixCount returns the number of caller prefixes that are tracked.
func (f *FlowLimiter) PrefixCount() int {
	n := 0
	for i := range f.shards {
		n += f.shards[i].len()
	}
	return n
}

// localLimit returns this balancer's portion of a limit for the whole fleet.
func (f *FlowLimiter) localLimit(fleetRate float64) bucketLimit {
	rate := fleetRate * (1 + f.cfg.Headroom) / float64(f.balancers.Load())
	return newBucketLimit(rate, f.cfg.Burst)
}

func (f *FlowLimiter) bucketOf(s bundle.ServiceID) *serviceBucket {
	f.mu.RLock()
	b, ok := f.services[s]
	f.mu.RUnlock()
	if ok {
		return b
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.services[s]; ok {
		return b
	}
	b = &serviceBucket{}
	f.services[s] = b
	return b
}

// Retain deletes the buckets of services that are not in keep.
func (f *FlowLimiter) Retain(keep map[bundle.ServiceID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.services {
		if !keep[s] {
			delete(f.services, s)
		}
	}
}

func (f *FlowLimiter) refuse(r Reason, minWait time.Duration, rnd RandSource) Refusal {
	return Refusal{Reason: r, RetryAfter: f.cfg.RetryAfter.Draw(minWait, rnd)}
}
