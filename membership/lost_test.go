package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// heartbeats merges heartbeats of sidecars and balancers of data centre a at every interval
// from one time until another.
func heartbeats(tb *membership.Table, from, until time.Duration, sidecars, balancers []byte) {
	for now := from; now < until; now += membership.HeartbeatInterval {
		for _, n := range sidecars {
			b := sidecarOf(1, uint32(now/time.Millisecond))
			b.DataCentre = "a"
			tb.MergeHeartbeat(now, host(n), b, versions(0, 0))
		}
		for _, n := range balancers {
			b := balancerHeartbeat(true)
			b.Sequence = uint32(now / time.Millisecond)
			tb.MergeHeartbeat(now, host(n), b, versions(0, 0))
		}
		tb.DueQueries(now)
		tb.UpdateAbsent(now)
	}
}

// TestBalancerThatReceivesNothingListsNoneAsLost guards against resets by balancers of other
// data centres, which rely on the list of a balancer whose own link is down.
func TestBalancerThatReceivesNothingListsNoneAsLost(t *testing.T) {
	for name, balancers := range map[string][]byte{"only balancer": nil, "one of two": {9}} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			const down = start + 3*time.Second
			heartbeats(tb, start, down, []byte{2, 3, 4, 5}, balancers)
			for now := down; now < down+10*time.Second; now += membership.QueryInterval {
				tb.DueQueries(now)
				tb.UpdateAbsent(now)
				must.SliceEmpty(t, tb.LocalLost(now), must.Sprint(now-down))
			}
		})
	}
}

// TestKilledSidecarIsListedAsLost guards against a list that omits a killed sidecar: the
// balancers of its data centre need it within LocalHeartbeatTimeout, and those of others
// within the time after which its reports are overdue there.
func TestKilledSidecarIsListedAsLost(t *testing.T) {
	for name, c := range map[string]struct {
		balancers []byte
		within    time.Duration
	}{
		"only balancer": {within: 1200 * time.Millisecond},
		"one of two":    {balancers: []byte{9}, within: membership.LocalHeartbeatTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			const killed = start + 3*time.Second // after the last heartbeat
			heartbeats(tb, start, killed, []byte{2, 3, 4, 5}, c.balancers)
			const last = killed - membership.HeartbeatInterval
			for now := killed; now < last+c.within; now += membership.QueryInterval {
				if (now-last)%membership.HeartbeatInterval == 0 {
					heartbeats(tb, now, now+1, []byte{3, 4, 5}, c.balancers)
				}
				tb.DueQueries(now)
				tb.UpdateAbsent(now)
			}
			must.Eq(t, []registry.Host{host(2)}, tb.LocalLost(last+c.within))
		})
	}
}

// TestOnlyBalancerListsAbsentSidecars guards against a list by the only balancer of a data
// centre, which no other one confirms, of a sidecar of which two heartbeats in a row were lost.
func TestOnlyBalancerListsAbsentSidecars(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	const (
		late = start + 3*time.Second
		gap  = 3 * membership.HeartbeatInterval
	)
	heartbeats(tb, start, late, []byte{2, 3, 4, 5, 6, 7, 8}, nil)
	for now := late; now < late+3*time.Second; now += membership.QueryInterval {
		if (now-late)%membership.HeartbeatInterval == 0 {
			heartbeats(tb, now, now+1, []byte{3, 4, 5, 6, 7, 8}, nil)
		}
		if (now-late)%gap == gap-membership.HeartbeatInterval {
			heartbeats(tb, now, now+1, []byte{2}, nil)
		}
		tb.DueQueries(now)
		tb.UpdateAbsent(now)
		must.SliceEmpty(t, tb.LocalLost(now), must.Sprint(now-late))
	}
}

// absentAfter returns for how long sidecar 2 was silent when a balancer without another one
// in its data centre took it for absent, while heartbeats of other sidecars arrive, or 0 if
// that took longer than three seconds.
func absentAfter(tb *membership.Table, last time.Duration) time.Duration {
	for now := last; now < last+3*time.Second; now += membership.QueryInterval {
		if (now-last)%membership.HeartbeatInterval == 0 {
			heartbeats(tb, now, now+1, []byte{3, 4, 5, 6, 7, 8}, nil)
		}
		tb.DueQueries(now)
		tb.UpdateAbsent(now)
		if tb.AbsentSince(host(2)) != 0 {
			return now - last
		}
	}
	return 0
}

// TestMissedHeartbeatsDelayLoneDecision guards against a live sidecar that the only balancer
// takes for absent on a link that loses datagrams.
func TestMissedHeartbeatsDelayLoneDecision(t *testing.T) {
	const last = start + 5*time.Second
	for missed, limit := range map[time.Duration]time.Duration{0: 1200 * time.Millisecond, 500 * time.Millisecond: 1700 * time.Millisecond} {
		tb := newTable(1, membership.Balancer)
		heartbeats(tb, start, last-missed, []byte{2, 3, 4, 5, 6, 7, 8}, nil)
		heartbeats(tb, last-missed, last, []byte{3, 4, 5, 6, 7, 8}, nil)
		heartbeats(tb, last, last+1, []byte{2, 3, 4, 5, 6, 7, 8}, nil)
		after := absentAfter(tb, last)
		must.Between(t, limit-500*time.Millisecond, after, limit, must.Sprint("missed for", missed))
	}
}
