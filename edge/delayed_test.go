package edge

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestDelayedQueueKeepsRequests checks that a delayedQueue keeps the last packet with data of
// a flow, until the caller stops sending, and that a reset replaces it.
func TestDelayedQueueKeepsRequests(t *testing.T) {
	host := registry.Host{10, 0, 0, 1}
	request := steer.Packet{Source: registry.Endpoint{Port: 7}, Flags: steer.ACK, Sequence: 8, Data: 100}
	ack, reset := request, request
	ack.Data, reset.Data, reset.Flags = 0, 0, steer.RST
	for _, c := range []struct {
		packets []steer.Packet
		want    steer.Packet
	}{
		{[]steer.Packet{ack, request, ack}, request},
		{[]steer.Packet{request, reset}, reset},
	} {
		q := delayedQueue{byFlow: make(map[steer.Key]delayedPacket)}
		for _, p := range c.packets {
			q.add(time.Second, &p, nil, host)
		}
		q.expire(time.Second + searchTimeout - 1)
		must.SliceEmpty(t, q.takeFor([]registry.Host{{10, 0, 0, 2}}))
		list := q.takeFor([]registry.Host{host})
		must.Len(t, 1, list)
		must.Eq(t, c.want, list[0].packet)
		q.add(time.Second, &ack, nil, host)
		q.expire(time.Second + searchTimeout)
		must.True(t, q.empty())
	}
}
