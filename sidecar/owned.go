package sidecar

import (
	"sync"

	"github.com/corianderbay/corianderbay/flow"
)

// owned is the set of flows that the sidecar accepted. It is safe for concurrent use.
type owned struct {
	mu       sync.Mutex
	flows    map[flow.Key]struct{}
	draining bool
}

func newOwned() *owned {
	return &owned{flows: make(map[flow.Key]struct{})}
}

// deliver reports whether the packet is for this upstream: its flow is known, or is accepted now.
func (o *owned) deliver(p flow.Packet, mayAccept bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, known := o.flows[p.Key]
	if known {
		if p.Reset {
			delete(o.flows, p.Key)
		}
		return true
	}
	opens := p.Opening || p.Key.Protocol() == flow.UDP
	if !opens || !mayAccept || o.draining {
		return false
	}
	o.flows[p.Key] = struct{}{}
	return true
}

func (o *owned) drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
}

func (o *owned) open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.flows)
}
