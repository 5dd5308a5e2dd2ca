package edge

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestSearchedPacketsAreResent checks that a searchQueue stores only the first packet of
// a flow, resends it with doubling delays, begins again with a retransmission after
// searchRetries of them, removes it searchTimeout after the caller's last transmission, and
// stores at most maxSearchPackets packets.
func TestSearchedPacketsAreResent(t *testing.T) {
	s := searchQueue{byFlow: make(map[steer.Key]searchPacket)}
	first := steer.Packet{Source: registry.Endpoint{Port: 7}, Flags: steer.ACK, Sequence: 8, Data: 100}
	next := first
	next.Sequence = 108
	must.Eq(t, addStored, s.add(time.Second, &first, []byte("first"), "a"))
	must.Eq(t, addRepeated, s.add(time.Second, &first, []byte("first"), "a"))
	must.Eq(t, addHeld, s.add(time.Second, &next, []byte("next"), "a"))
	must.SliceEmpty(t, s.due(time.Second+searchRetryDelay-1))
	for i, at := range []time.Duration{searchRetryDelay, 3 * searchRetryDelay, 7 * searchRetryDelay} {
		due := s.due(time.Second + at)
		must.Len(t, 1, due)
		must.Eq(t, first, due[0].packet)
		must.Eq(t, []byte("first"), due[0].data)
		must.Eq(t, i+1, due[0].attempts)
		must.SliceEmpty(t, s.due(time.Second+at))
		if i < 2 {
			must.Eq(t, addRepeated, s.add(time.Second+at, &first, []byte("first"), "a"), must.Sprint("between retries"))
		}
	}
	must.SliceEmpty(t, s.due(time.Second+15*searchRetryDelay-1))
	must.Len(t, 1, s.due(time.Second+15*searchRetryDelay))

	again := time.Second + 15*searchRetryDelay
	must.Eq(t, addStored, s.add(again, &first, []byte("first"), "a"), must.Sprint("after the retries"))
	must.Eq(t, addRepeated, s.add(again, &first, []byte("first"), "a"))
	must.Len(t, 1, s.due(again+searchTimeout-1))
	must.SliceEmpty(t, s.due(again+searchTimeout))
	must.MapEmpty(t, s.byFlow)

	for port := range maxSearchPackets + 10 {
		first.Source.Port = uint16(port)
		want := addStored
		if port >= maxSearchPackets {
			want = addFull
		}
		must.Eq(t, want, s.add(time.Minute, &first, nil, "a"))
	}
	must.MapLen(t, maxSearchPackets, s.byFlow)
	s.remove(first.CallerKey())
}

// TestSearchKeepsWhatTheCallerWaitsFor guards against a request that is resent after the
// caller has reset the flow, and one that is not because an acknowledgement came first.
func TestSearchKeepsWhatTheCallerWaitsFor(t *testing.T) {
	s := searchQueue{byFlow: make(map[steer.Key]searchPacket)}
	p := steer.Packet{Source: registry.Endpoint{Port: 7}, Flags: steer.ACK, Sequence: 8}
	request, reset := p, p
	request.Data, reset.Flags = 100, steer.RST|steer.ACK
	want := []addResult{addStored, addStored, addHeld, addStored, addHeld}
	for i, p := range []steer.Packet{p, request, p, reset, request} {
		must.Eq(t, want[i], s.add(time.Second, &p, nil, "a"))
	}
	must.Eq(t, reset, s.all()[0].packet)
}

// TestSearchLeavesOneDataCentreAtATime guards against copies of a searched packet in several
// data centres at once, and of the second packet of its flow, unless no report would follow.
func TestSearchLeavesOneDataCentreAtATime(t *testing.T) {
	b := Balancer{searches: searchQueue{byFlow: make(map[steer.Key]searchPacket)}}
	request := steer.Packet{Source: registry.Endpoint{Port: 7}, Flags: steer.ACK, Sequence: 8, Data: 100}
	next, reset := request, request
	next.Sequence = 108
	reset.Source.Port, reset.Flags = 8, steer.RST
	for _, c := range []struct {
		packet       *steer.Packet
		sent, remote bool
	}{{&request, true, true}, {&next, false, false}, {&reset, true, false}} {
		var f steer.Forward
		must.Eq(t, c.sent, b.beginSearch(time.Second, &f, c.packet, []byte{byte(c.packet.Sequence)}))
		must.Eq(t, c.remote, f.Header.Remote)
	}
	s, _ := b.searches.get(request.CallerKey())
	must.Eq(t, []byte{108}, s.next)
	for port := range maxSearchPackets {
		request.Source.Port = uint16(100 + port)
		b.searches.add(time.Second, &request, nil, "a")
	}
	var f steer.Forward
	request.Source.Port = 99
	must.True(t, b.beginSearch(time.Second, &f, &request, nil))
	must.False(t, f.Header.Remote)
}

// TestSearchIsExtendedOnlyWhereItHasBeen guards against copies of a searched packet at the upstreams
// of a data centre that the search has not reached, when a sidecar there becomes reachable.
func TestSearchIsExtendedOnlyWhereItHasBeen(t *testing.T) {
	s := searchPacket{searched: []string{"a"}}
	must.Eq(t, []bool{false, true, false}, []bool{s.comesTo("a"), s.comesTo("b"), s.comesTo("")})
	s.attempts++
	must.False(t, s.comesTo("b"), must.Sprint("a retry goes to all data centres"))
}

// TestNoticeReachesBalancerThatTookThePacket guards against a flow that is reported to no
// balancer because heartbeats of the one that took its packet are late.
func TestNoticeReachesBalancerThatTookThePacket(t *testing.T) {
	a, b := registry.Host{10, 0, 0, 1}, registry.Host{10, 0, 0, 2}
	must.Eq(t, []registry.Host{b}, withBalancer(nil, b))
	must.Eq(t, []registry.Host{a, b}, withBalancer([]registry.Host{a}, b))
	must.Eq(t, []registry.Host{a, b}, withBalancer([]registry.Host{a, b}, b))
	must.Eq(t, []registry.Host{a}, withBalancer([]registry.Host{a}, registry.Host{}))
}
