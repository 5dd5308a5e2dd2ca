package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/shoenig/test/must"
)

// sidecarOf returns a heartbeat of one incarnation of a sidecar.
func sidecarOf(incarnation, sequence uint32) membership.Heartbeat {
	return membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: incarnation, Sequence: sequence}
}

// TestLateHeartbeatOfFormerProcessIsIgnored guards against a reset of the flows of an
// upstream because the former sidecar at its address announced its end, in a datagram that
// was delayed until the next sidecar had sent its first heartbeat.
func TestLateHeartbeatOfFormerProcessIsIgnored(t *testing.T) {
	const (
		stopped = start + 10*time.Second
		started = stopped + 2*time.Second
		late    = started + 300*time.Millisecond
	)
	for _, relayed := range []bool{false, true} {
		tb := newTable(1, membership.Balancer)
		tb.MergeHeartbeat(start, host(2), sidecarOf(1, 1), versions(0, 0))
		tb.MergeHeartbeat(started, host(2), sidecarOf(2, 1), versions(0, 0))
		must.True(t, tb.Alive(started, host(2)))

		end := sidecarOf(1, 40)
		end.Stopping, end.Load.Ended = true, true
		var res membership.Result
		if relayed {
			res = tb.MergeReport(late, 0, host(2), end, versions(0, 0))
		} else {
			res = tb.MergeHeartbeat(late, host(2), end, versions(0, 0))
		}
		must.Eq(t, membership.Result{}, res)
		must.True(t, tb.Alive(late, host(2)), must.Sprint("relayed", relayed))
		must.False(t, tb.Ended(host(2)))
		must.Eq(t, 0, tb.EndedAt(host(2)))
	}
}

// TestLateStopOfFormerBalancerIsIgnored guards against an absence that a balancer no longer
// has to confirm because its former process announced a stop.
func TestLateStopOfFormerBalancerIsIgnored(t *testing.T) {
	const started = start + 10*time.Second
	tb := newTable(1, membership.Balancer)
	b := balancerHeartbeat(true)
	tb.MergeHeartbeat(start, host(2), b, versions(0, 0))
	next, stop := b, b
	next.Incarnation, next.Sequence = 2, 1
	stop.Sequence, stop.Stopping = 40, true
	tb.MergeHeartbeat(started, host(2), next, versions(0, 0))
	tb.MergeHeartbeat(started+time.Millisecond, host(2), stop, versions(0, 0))
	must.False(t, tb.Peer(host(2)).Stopping())
}

// TestProcessIsNotTakenForItsFormerOne guards against ignoring a live process after a late
// heartbeat of the one before it, which this process did not know.
func TestProcessIsNotTakenForItsFormerOne(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	tb.MergeHeartbeat(start, host(2), sidecarOf(2, 1), versions(0, 0))
	stop := sidecarOf(1, 40)
	stop.Stopping = true
	tb.MergeHeartbeat(start+100*time.Millisecond, host(2), stop, versions(0, 0))
	tb.MergeHeartbeat(start+250*time.Millisecond, host(2), sidecarOf(2, 2), versions(0, 0))
	must.True(t, tb.Alive(start+250*time.Millisecond, host(2)))
}

// TestLiveProcessIsNotTakenForFormerOne guards against ignoring a live process for seconds after
// a heartbeat of the one before it that is later than formerTimeout.
func TestLiveProcessIsNotTakenForFormerOne(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	const late = start + 6*time.Second
	for now := time.Duration(start); now < late; now += membership.HeartbeatInterval {
		tb.MergeHeartbeat(now, host(2), sidecarOf(2, uint32(now/time.Millisecond)), versions(0, 0))
	}
	stop := sidecarOf(1, 40)
	stop.Stopping, stop.Load.Ended = true, true
	tb.MergeHeartbeat(late, host(2), stop, versions(0, 0))
	next := late + membership.HeartbeatInterval
	tb.MergeHeartbeat(next, host(2), sidecarOf(2, uint32(next/time.Millisecond)), versions(0, 0))
	must.True(t, tb.Alive(next, host(2)))
	must.False(t, tb.Ended(host(2)))
}

// TestFormerProcessIsRememberedThroughPauses guards against a late heartbeat that arrives
// after the next process has also begun another incarnation, as it does after a pause.
func TestFormerProcessIsRememberedThroughPauses(t *testing.T) {
	const started = start + 10*time.Second
	tb := newTable(1, membership.Balancer)
	tb.MergeHeartbeat(start, host(2), sidecarOf(1, 1), versions(0, 0))
	tb.MergeHeartbeat(started, host(2), sidecarOf(7, 1), versions(0, 0))
	tb.MergeHeartbeat(started+500*time.Millisecond, host(2), sidecarOf(8, 2), versions(0, 0))
	stop := sidecarOf(1, 40)
	stop.Stopping = true
	tb.MergeHeartbeat(started+600*time.Millisecond, host(2), stop, versions(0, 0))
	must.True(t, tb.Alive(started+600*time.Millisecond, host(2)))
}

// TestFormerProcessMayReturn guards against ignoring a process for good.
func TestFormerProcessMayReturn(t *testing.T) {
	const started = start + 10*time.Second
	tb := newTable(1, membership.Balancer)
	tb.MergeHeartbeat(start, host(2), sidecarOf(1, 1), versions(0, 0))
	tb.MergeHeartbeat(started, host(2), sidecarOf(2, 1), versions(0, 0))
	const later = started + 5*time.Second
	must.True(t, tb.MergeHeartbeat(later, host(2), sidecarOf(1, 60), versions(0, 0)).Newer)
	must.Eq(t, 1, tb.Peer(host(2)).Heartbeat.Incarnation)
}
