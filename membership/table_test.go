package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

const start = time.Hour

func host(n byte) registry.Host { return registry.Host{10, 0, 0, n} }

func table(self byte, role membership.Role) *membership.Table {
	return membership.New(membership.Config{Self: host(self), Role: role, DataCentre: "a", Seeds: []registry.Host{host(9)}, Started: start})
}

// has returns what a process has of routes and upstreams.
func has(version, revision uint64) membership.Versions {
	return membership.Versions{Version: version, State: registry.State{Revision: revision}}
}

func balancerBeat(reading bool) membership.Heartbeat {
	age := time.Hour
	if reading {
		age = 0
	}
	return membership.Heartbeat{Role: membership.Balancer, DataCentre: "a", Incarnation: 1, Reading: reading, StoreAge: age}
}

// TestOneBalancerReadsStore counts the readers among balancers that all hear each other.
func TestOneBalancerReadsStore(t *testing.T) {
	const n = 6
	reading := 0
	for self := byte(1); self <= n; self++ {
		tb := table(self, membership.Balancer)
		tb.RecordStoreAnswer(start)
		for other := byte(1); other <= n; other++ {
			tb.MergeHeartbeat(start, host(other), balancerBeat(true), has(0, 0))
		}
		if tb.ShouldRead(start, 0) {
			reading++
		}
	}
	must.Eq(t, 1, reading)
}

// TestBalancerReadsWhenOtherReadsFail has the store answer none of the first balancers.
func TestBalancerReadsWhenOtherReadsFail(t *testing.T) {
	tb := table(1, membership.Balancer)
	for other := byte(2); other <= 6; other++ {
		tb.MergeHeartbeat(start, host(other), balancerBeat(false), has(0, 0))
	}
	must.True(t, tb.ShouldRead(start, 0))
}

// TestSidecarReadsOnlyWithoutOtherReaders waits out its patience.
func TestSidecarReadsOnlyWithoutOtherReaders(t *testing.T) {
	tb := table(1, membership.Sidecar)
	tb.MergeHeartbeat(start, host(2), balancerBeat(true), has(0, 0))
	must.False(t, tb.ShouldRead(start+time.Second, 500*time.Millisecond))
	must.False(t, tb.ShouldRead(start+1900*time.Millisecond, 500*time.Millisecond))
	must.True(t, tb.ShouldRead(start+2*time.Second, 500*time.Millisecond))
	must.Eq(t, 2*time.Second, tb.StoreAge(start+2*time.Second))
}

// TestSilentOrStoppingPeerIsNotAlive end a peer's part in new flows.
func TestSilentOrStoppingPeerIsNotAlive(t *testing.T) {
	tb := table(1, membership.Balancer)
	b := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	must.True(t, tb.MergeHeartbeat(start, host(2), b, has(0, 0)).Restarted)
	must.False(t, tb.MergeHeartbeat(start, host(2), b, has(0, 0)).Restarted)
	must.True(t, tb.Alive(start+membership.SuspectAfter-1, host(2)))
	must.False(t, tb.Alive(start+membership.SuspectAfter, host(2)))
	must.Eq(t, []registry.Host{host(2)}, tb.Lost(start+membership.SuspectAfter))
	b.Stopping = true
	tb.MergeHeartbeat(start, host(2), b, has(0, 0))
	must.False(t, tb.Alive(start, host(2)))
	b.Stopping, b.Incarnation = false, 2
	must.True(t, tb.MergeHeartbeat(start, host(2), b, has(0, 0)).Restarted)
	must.True(t, tb.Alive(start, host(2)))
}

// TestLostSidecarsAreReported tells a sidecar of one that it never heard.
func TestLostSidecarsAreReported(t *testing.T) {
	tb := table(1, membership.Sidecar)
	b := balancerBeat(true)
	b.Lost = []registry.Host{host(5)}
	tb.MergeHeartbeat(start, host(2), b, has(0, 0))
	must.Eq(t, []registry.Host{host(5)}, tb.Lost(start))
	must.SliceEmpty(t, tb.Lost(start+10*membership.SuspectAfter))
	tb.MergeHeartbeat(start, host(5), membership.Heartbeat{Role: membership.Sidecar, Incarnation: 1}, has(0, 0))
	must.SliceEmpty(t, tb.Lost(start))
}

// TestTargetsIncludeAdvertisedBalancers begins with the seeds and learns balancers by name.
func TestTargetsIncludeAdvertisedBalancers(t *testing.T) {
	tb := table(1, membership.Balancer)
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start, membership.ScopeDataCentre, nil))
	b := balancerBeat(true)
	b.Balancers = []registry.Host{host(1), host(3), host(9)}
	must.True(t, tb.MergeHeartbeat(start, host(9), b, has(0, 0)).NewBalancers)
	must.False(t, tb.MergeHeartbeat(start, host(9), b, has(0, 0)).NewBalancers)
	must.Eq(t, []registry.Host{host(3), host(4), host(9)}, tb.Targets(start, membership.ScopeDataCentre, []registry.Host{host(4), host(9)}))
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start, membership.ScopeBalancers, nil))
	tb.Expire(start + time.Minute)
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start+time.Minute, membership.ScopeDataCentre, nil))
}

// TestPullSource prefers the own data centre, and another peer after a failure.
func TestPullSource(t *testing.T) {
	tb := table(1, membership.Balancer)
	must.Nil(t, tb.PullSource(start, has(0, 0), registry.Host{}))
	near, far := balancerBeat(true), balancerBeat(true)
	near.State.Revision, far.State.Revision, far.DataCentre = 5, 6, "b"
	must.True(t, tb.MergeHeartbeat(start, host(2), near, has(0, 4)).Ahead)
	tb.MergeHeartbeat(start, host(3), far, has(0, 4))
	must.Eq(t, host(2), tb.PullSource(start, has(0, 4), registry.Host{}).Host)
	must.Eq(t, host(3), tb.PullSource(start, has(0, 4), host(2)).Host)
	must.Eq(t, host(3), tb.PullSource(start, has(0, 5), registry.Host{}).Host)
	must.Nil(t, tb.PullSource(start, has(0, 6), registry.Host{}))
	must.Nil(t, tb.PullSource(start+time.Minute, has(0, 4), registry.Host{}))
}

// TestHeartbeatRoundTrip encodes a heartbeat as peers do, and refuses nonsense.
func TestHeartbeatRoundTrip(t *testing.T) {
	want := membership.Heartbeat{
		Role:        membership.Sidecar,
		DataCentre:  "a",
		Incarnation: 1 << 30,
		Version:     3,
		Load:        membership.Load{Flows: 3, Active: 1, Busy: 900, Silent: true},
		Balancers:   []registry.Host{host(1)},
	}
	raw, err := wire.Encode(want)
	must.NoError(t, err)
	var got membership.Heartbeat
	must.NoError(t, wire.Decode(raw, &got))
	must.NoError(t, got.Check())
	must.Eq(t, want, got)
	must.Error(t, (&membership.Heartbeat{}).Check())
	must.Error(t, (&membership.Heartbeat{Role: membership.Sidecar, StoreAge: -1}).Check())
}

// TestRemoteProcessesHaveLongerTimeout gives processes of other data centres more time.
func TestRemoteProcessesHaveLongerTimeout(t *testing.T) {
	tb := table(1, membership.Balancer)
	b := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.MergeHeartbeat(start, host(2), b, has(0, 0))
	must.True(t, tb.Alive(start+membership.HeartbeatsPerRemoteDigest*membership.HeartbeatInterval*2, host(2)))
	must.False(t, tb.Alive(start+membership.HeartbeatsPerRemoteDigest*membership.SuspectAfter, host(2)))
	b.DataCentre = "a"
	tb.MergeHeartbeat(start, host(3), b, has(0, 0))
	must.False(t, tb.Alive(start+membership.SuspectAfter, host(3)))
}

// TestIsolated needs sidecars that were heard once, and the silence of all of them.
// A balancer that is cut off together with this one does not count.
func TestIsolated(t *testing.T) {
	tb := table(1, membership.Balancer)
	must.False(t, tb.Isolated(start+time.Hour))
	near := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	far := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.MergeHeartbeat(start, host(2), near, has(0, 0))
	tb.MergeHeartbeat(start, host(3), far, has(0, 0))
	must.False(t, tb.Isolated(start+membership.HeartbeatsPerRemoteDigest*membership.HeartbeatInterval))
	must.True(t, tb.Isolated(start+1300*time.Millisecond))
	tb.MergeHeartbeat(start+time.Second, host(4), balancerBeat(true), has(0, 0))
	must.True(t, tb.Isolated(start+1300*time.Millisecond))
	tb.MergeHeartbeat(start+time.Second, host(3), far, has(0, 0))
	must.False(t, tb.Isolated(start+1300*time.Millisecond))
}

// TestUnlistedSidecarsAreReported tells a sidecar of a live one that it does not hear.
func TestUnlistedSidecarsAreReported(t *testing.T) {
	tb := table(1, membership.Sidecar)
	tb.MergeHeartbeat(start, host(3), membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, has(0, 0))
	b := balancerBeat(true)
	b.Unlisted = []registry.Host{host(1), host(5)}
	tb.MergeHeartbeat(start, host(2), b, has(0, 0))
	must.Eq(t, []registry.Host{host(3), host(5)}, tb.Sidecars(start))
	must.SliceEmpty(t, tb.Sidecars(start+time.Minute))
}

// TestLossIsAcceptedFromSidecarsDataCentre tells of a sidecar of another data centre that this process still hears.
func TestLossIsAcceptedFromSidecarsDataCentre(t *testing.T) {
	tb := table(1, membership.Balancer)
	side := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.MergeHeartbeat(start, host(5), side, has(0, 0))
	b := balancerBeat(true)
	b.Lost = []registry.Host{host(5)}
	tb.MergeHeartbeat(start+1, host(2), b, has(0, 0)) // of data centre a
	must.SliceEmpty(t, tb.Lost(start+1))
	must.Eq(t, []registry.Host{host(5)}, tb.Sidecars(start+1))
	b.DataCentre = "b"
	tb.MergeHeartbeat(start+2, host(3), b, has(0, 0))
	must.Eq(t, []registry.Host{host(5)}, tb.Lost(start+2))
	must.SliceEmpty(t, tb.Sidecars(start+2))
	tb.MergeHeartbeat(start+3, host(5), side, has(0, 0))
	must.SliceEmpty(t, tb.Lost(start+3))
}

// TestReceivedReportsAreNotRelayed lets two balancers tell each other of sidecars that neither hears.
func TestReceivedReportsAreNotRelayed(t *testing.T) {
	tb := table(1, membership.Balancer)
	b := balancerBeat(true)
	b.Lost, b.Unlisted = []registry.Host{host(5)}, []registry.Host{host(6)}
	tb.MergeHeartbeat(start, host(2), b, has(0, 0))
	must.SliceEmpty(t, tb.LocalLost(start))
	must.SliceEmpty(t, tb.LiveSidecars(start))
}

// TestAbsentSidecar falls silent while balancers of its data centre hear it or not.
func TestAbsentSidecar(t *testing.T) {
	sidecar := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	const silent = start + membership.SuspectAfter
	tests := map[string]struct {
		beat  func(*membership.Heartbeat) // of the sidecar
		other func(*membership.Heartbeat) // of another balancer
		want  time.Duration
	}{
		"nobody hears it":            {other: func(b *membership.Heartbeat) { b.Lost = []registry.Host{host(2)} }, want: silent},
		"another balancer hears it":  {other: func(*membership.Heartbeat) {}},
		"one elsewhere may not know": {other: func(b *membership.Heartbeat) { b.DataCentre = "b" }, want: silent},
		"it said that it stops": {
			beat:  func(b *membership.Heartbeat) { b.Stopping = true },
			other: func(b *membership.Heartbeat) { b.Lost = []registry.Host{host(2)} },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(1, membership.Balancer)
			s, b := sidecar, balancerBeat(true)
			if tc.beat != nil {
				tc.beat(&s)
			}
			tc.other(&b)
			tb.MergeHeartbeat(start, host(2), s, has(0, 0))
			tb.UpdateAbsent(start)
			must.Eq(t, 0, tb.AbsentSince(host(2)))
			tb.MergeHeartbeat(silent, host(3), b, has(0, 0))
			tb.UpdateAbsent(silent)
			tb.UpdateAbsent(silent + 100*time.Millisecond)
			must.Eq(t, tc.want, tb.AbsentSince(host(2)))
			tb.MergeHeartbeat(silent+time.Second, host(2), sidecar, has(0, 0))
			tb.UpdateAbsent(silent + time.Second)
			must.Eq(t, 0, tb.AbsentSince(host(2)))
		})
	}
}

// TestOwnPauseIsNotCountedAsSilence wakes after four seconds.
func TestOwnPauseIsNotCountedAsSilence(t *testing.T) {
	tb := table(1, membership.Balancer)
	tb.MergeHeartbeat(start, host(2), membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, has(0, 0))
	const pause = 4 * time.Second
	must.False(t, tb.Alive(start+pause, host(2)))
	tb.AdjustForPause(start+pause, pause)
	must.True(t, tb.Alive(start+pause, host(2)))
}

// TestRemoteReportAloneDoesNotMarkAbsent has a balancer of the sidecar's data centre that
// missed heartbeats of it, while this process, elsewhere, had one within its interval.
func TestRemoteReportAloneDoesNotMarkAbsent(t *testing.T) {
	tb := table(1, membership.Balancer)
	elsewhere := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	report := balancerBeat(true)
	report.DataCentre, report.Lost = "b", []registry.Host{host(2)}
	tb.MergeHeartbeat(start, host(2), elsewhere, has(0, 0))
	tb.MergeHeartbeat(start+700*time.Millisecond, host(3), report, has(0, 0))
	tb.UpdateAbsent(start + 1100*time.Millisecond)
	must.Eq(t, 0, tb.AbsentSince(host(2)))
	tb.MergeHeartbeat(start+1200*time.Millisecond, host(3), report, has(0, 0))
	tb.UpdateAbsent(start + 1300*time.Millisecond)
	must.Eq(t, start+1300*time.Millisecond, tb.AbsentSince(host(2)))
}

// TestDelayedHeartbeatsKeepSidecarAlive has a choked instance: its heartbeats wait for
// 700 ms at its link and arrive with up to 300 ms between them.
func TestDelayedHeartbeatsKeepSidecarAlive(t *testing.T) {
	tb := table(1, membership.Balancer)
	beat := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	const late = 700 * time.Millisecond
	for i := range 100 {
		jitter := time.Duration(i%7) * 50 * time.Millisecond
		at := start + time.Duration(i)*membership.HeartbeatInterval + late + jitter
		tb.MergeHeartbeat(at, host(2), beat, has(0, 0))
		for _, after := range []time.Duration{0, 200 * time.Millisecond, membership.HeartbeatInterval} {
			tb.UpdateAbsent(at + after)
			must.True(t, tb.Alive(at+after, host(2)))
			must.Eq(t, 0, tb.AbsentSince(host(2)))
		}
	}
}

// TestStartingSidecarWaitsForBalancers asks the store itself only when nobody told it anything for a while.
func TestStartingSidecarWaitsForBalancers(t *testing.T) {
	tb := table(1, membership.Sidecar)
	must.False(t, tb.ShouldRead(start, 0))
	must.False(t, tb.ShouldRead(start+membership.MaxStoreAge-1, 0))
	must.True(t, tb.ShouldRead(start+membership.MaxStoreAge, 0))
	must.True(t, table(2, membership.Balancer).ShouldRead(start, 0))
}

// TestIsolatedBalancerMarksNoneAbsent hears everyone until it is cut off, and then only a
// balancer of another data centre that is cut off with it.
func TestIsolatedBalancerMarksNoneAbsent(t *testing.T) {
	tb := table(1, membership.Balancer)
	near := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	far := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	fellow := balancerBeat(true)
	fellow.DataCentre = "b"
	tb.MergeHeartbeat(start-240*time.Millisecond, host(2), near, has(0, 0))
	tb.MergeHeartbeat(start-100*time.Millisecond, host(3), near, has(0, 0))
	tb.MergeHeartbeat(start-100*time.Millisecond, host(4), balancerBeat(true), has(0, 0))
	tb.MergeHeartbeat(start-900*time.Millisecond, host(5), far, has(0, 0))
	tb.MergeHeartbeat(start, host(6), far, has(0, 0))
	for after := time.Duration(0); after < 4*time.Second; after += 50 * time.Millisecond {
		tb.MergeHeartbeat(start+after, host(7), fellow, has(0, 0))
		tb.UpdateAbsent(start + after)
		for n := byte(2); n <= 6; n++ {
			must.Eq(t, 0, tb.AbsentSince(host(n)), must.Sprintf("host %d, %v after the cut", n, after))
		}
	}
	// The link is whole again, but one sidecar stays silent.
	const healed = start + 4*time.Second
	tb.MergeHeartbeat(healed, host(3), near, has(0, 0))
	report := balancerBeat(true)
	report.Lost = []registry.Host{host(2)}
	tb.MergeHeartbeat(healed, host(4), report, has(0, 0))
	tb.UpdateAbsent(healed)
	must.Eq(t, healed, tb.AbsentSince(host(2)))
	must.Eq(t, 0, tb.AbsentSince(host(3)))
}
