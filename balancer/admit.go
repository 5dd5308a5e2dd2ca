package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/limit"
	"github.com/corianderbay/corianderbay/route"
)

// lockedRandom is a random source that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// Float64 returns a random number in [0, 1).
func (r *lockedRandom) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// admit reports whether a packet may be forwarded, and otherwise refuses it. Only
// openings are limited: a datagram may belong to an open flow, and after a refusal
// its caller could not determine whether an earlier copy was processed.
func (p *pipeline) admit(m route.Match, f fabric.Frame, now time.Time) bool {
	if !f.Packet.Opening {
		return true
	}
	caller := f.Packet.Key.Caller().Addr()
	refusal, ok := p.b.limiter.Admit(m.Service.ID(), m.Service.Limit(), caller, now, &p.b.random)
	if !ok {
		p.refuse(f, refusal)
	}
	return ok
}

// refuse answers an opening that is not forwarded with a reset. A connection that is
// reset while it opens has run no request, so the refusal is marked as NotRun.
func (p *pipeline) refuse(f fabric.Frame, r limit.Refusal) {
	p.b.counters.refused.Add(1)
	ip, err := p.decoder.Refuse(f.IP)
	if err != nil {
		return
	}
	out, err := fabric.Append(p.out[:0], f.VNI, ip, &fabric.Refusal{
		Reason:     fabric.ReasonLimited,
		NotRun:     true,
		RetryAfter: r.RetryAfter,
	})
	if err != nil {
		return
	}
	p.out = out
	p.b.fabric.Send(out, p.b.cfg.Gateway)
}

// shareLimits sets the number of balancers that limits are divided among to the
// number of live ones in the platform's instance list.
func (b *Balancer) shareLimits(instances []configservice.Instance) {
	n := 0
	for _, i := range instances {
		if i.Role == configservice.RoleBalancer && i.State == configservice.StateLive {
			n++
		}
	}
	b.limiter.SetBalancers(n)
}
