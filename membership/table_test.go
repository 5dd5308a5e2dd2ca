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

func newTable(self byte, role membership.Role) *membership.Table {
	return membership.New(membership.Config{Self: host(self), Role: role, DataCentre: "a", Seeds: []registry.Host{host(9)}, Started: start})
}

// versions returns the Versions of a process.
func versions(version, revision uint64) membership.Versions {
	return membership.Versions{Version: version, State: registry.State{Revision: revision}}
}

func balancerHeartbeat(reading bool) membership.Heartbeat {
	age := time.Hour
	if reading {
		age = 0
	}
	return membership.Heartbeat{Role: membership.Balancer, DataCentre: "a", Incarnation: 1, Reading: reading, StoreAge: age}
}

// TestOneBalancerReadsStore checks that exactly one of several balancers that receive
// each other's heartbeats reads the store.
func TestOneBalancerReadsStore(t *testing.T) {
	const n = 6
	reading := 0
	for self := byte(1); self <= n; self++ {
		tb := newTable(self, membership.Balancer)
		tb.RecordStoreAnswer(start)
		for other := byte(1); other <= n; other++ {
			tb.MergeHeartbeat(start, host(other), balancerHeartbeat(true), versions(0, 0))
		}
		if tb.ShouldRead(start, 0) {
			reading++
		}
	}
	must.Eq(t, 1, reading)
}

// TestBalancerReadsWhenOtherReadsFail checks that a balancer reads the store when the
// reads of all others fail.
func TestBalancerReadsWhenOtherReadsFail(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	for other := byte(2); other <= 6; other++ {
		tb.MergeHeartbeat(start, host(other), balancerHeartbeat(false), versions(0, 0))
	}
	must.True(t, tb.ShouldRead(start, 0))
}

// TestSidecarReadsOnlyWithoutOtherReaders checks that a sidecar reads the store only
// when the newest reported answer is older than MaxStoreAge by its delay.
func TestSidecarReadsOnlyWithoutOtherReaders(t *testing.T) {
	tb := newTable(1, membership.Sidecar)
	tb.MergeHeartbeat(start, host(2), balancerHeartbeat(true), versions(0, 0))
	must.False(t, tb.ShouldRead(start+time.Second, 500*time.Millisecond))
	must.False(t, tb.ShouldRead(start+1900*time.Millisecond, 500*time.Millisecond))
	must.True(t, tb.ShouldRead(start+2*time.Second, 500*time.Millisecond))
	must.Eq(t, 2*time.Second, tb.StoreAge(start+2*time.Second))
}

// TestSilentOrStoppingPeerIsNotAlive checks that a peer is not alive after LocalHeartbeatTimeout
// or when it announces its stop, and is alive again after a restart.
func TestSilentOrStoppingPeerIsNotAlive(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	b := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	must.True(t, tb.MergeHeartbeat(start, host(2), b, versions(0, 0)).Restarted)
	must.False(t, tb.MergeHeartbeat(start, host(2), b, versions(0, 0)).Restarted)
	must.True(t, tb.Alive(start+membership.LocalHeartbeatTimeout-1, host(2)))
	must.False(t, tb.Alive(start+membership.LocalHeartbeatTimeout, host(2)))
	must.Eq(t, []registry.Host{host(2)}, tb.Lost(start+membership.LocalHeartbeatTimeout))
	b.Stopping = true
	tb.MergeHeartbeat(start, host(2), b, versions(0, 0))
	must.False(t, tb.Alive(start, host(2)))
	b.Stopping, b.Incarnation = false, 2
	must.True(t, tb.MergeHeartbeat(start, host(2), b, versions(0, 0)).Restarted)
	must.True(t, tb.Alive(start, host(2)))
}

// TestLostSidecarsAreReported checks that a sidecar that a balancer reports as lost is
// lost here, until the report expires or a heartbeat of the sidecar arrives.
func TestLostSidecarsAreReported(t *testing.T) {
	tb := newTable(1, membership.Sidecar)
	b := balancerHeartbeat(true)
	b.Lost = []registry.Host{host(5)}
	tb.MergeHeartbeat(start, host(2), b, versions(0, 0))
	must.Eq(t, []registry.Host{host(5)}, tb.Lost(start))
	must.SliceEmpty(t, tb.Lost(start+10*membership.LocalHeartbeatTimeout))
	tb.MergeHeartbeat(start, host(5), membership.Heartbeat{Role: membership.Sidecar, Incarnation: 1}, versions(0, 0))
	must.SliceEmpty(t, tb.Lost(start))
}

// TestTargetsIncludeAdvertisedBalancers checks that the targets are the seeds at first,
// and then include the balancers listed in a heartbeat.
func TestTargetsIncludeAdvertisedBalancers(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start, membership.ScopeDataCentre, nil))
	b := balancerHeartbeat(true)
	b.Balancers = []registry.Host{host(1), host(3), host(9)}
	must.True(t, tb.MergeHeartbeat(start, host(9), b, versions(0, 0)).NewBalancers)
	must.False(t, tb.MergeHeartbeat(start, host(9), b, versions(0, 0)).NewBalancers)
	must.Eq(t, []registry.Host{host(3), host(4), host(9)}, tb.Targets(start, membership.ScopeDataCentre, []registry.Host{host(4), host(9)}))
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start, membership.ScopeBalancers, nil))
	tb.Expire(start + time.Minute)
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start+time.Minute, membership.ScopeDataCentre, nil))
}

// TestPullSource checks that a peer of the same data centre is preferred, and another
// one after a failed pull.
func TestPullSource(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	must.Nil(t, tb.PullSource(start, versions(0, 0), registry.Host{}))
	local, remote := balancerHeartbeat(true), balancerHeartbeat(true)
	local.State.Revision, remote.State.Revision, remote.DataCentre = 5, 6, "b"
	must.True(t, tb.MergeHeartbeat(start, host(2), local, versions(0, 4)).Ahead)
	tb.MergeHeartbeat(start, host(3), remote, versions(0, 4))
	must.Eq(t, host(2), tb.PullSource(start, versions(0, 4), registry.Host{}).Host)
	must.Eq(t, host(3), tb.PullSource(start, versions(0, 4), host(2)).Host)
	must.Eq(t, host(3), tb.PullSource(start, versions(0, 5), registry.Host{}).Host)
	must.Nil(t, tb.PullSource(start, versions(0, 6), registry.Host{}))
	must.Nil(t, tb.PullSource(start+time.Minute, versions(0, 4), registry.Host{}))
}

// TestHeartbeatRoundTrip checks that a heartbeat survives encoding and decoding, and
// that invalid heartbeats are rejected.
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

// TestRemoteProcessesHaveLongerTimeout checks that processes of other data centres,
// which are reported less often, time out later than local ones.
func TestRemoteProcessesHaveLongerTimeout(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	b := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.MergeHeartbeat(start, host(2), b, versions(0, 0))
	must.True(t, tb.Alive(start+membership.HeartbeatsPerRemoteDigest*membership.HeartbeatInterval*2, host(2)))
	must.False(t, tb.Alive(start+membership.HeartbeatsPerRemoteDigest*membership.LocalHeartbeatTimeout, host(2)))
	b.DataCentre = "a"
	tb.MergeHeartbeat(start, host(3), b, versions(0, 0))
	must.False(t, tb.Alive(start+membership.LocalHeartbeatTimeout, host(3)))
}

// TestIsolated checks that a balancer is isolated when all its sidecars have timed out, even
// when it still receives heartbeats of a balancer that is cut off together with it.
func TestIsolated(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	must.False(t, tb.Isolated(start+time.Hour))
	local := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	remote := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.MergeHeartbeat(start, host(2), local, versions(0, 0))
	tb.MergeHeartbeat(start, host(3), remote, versions(0, 0))
	must.False(t, tb.Isolated(start+membership.HeartbeatsPerRemoteDigest*membership.HeartbeatInterval))
	must.True(t, tb.Isolated(start+1300*time.Millisecond))
	tb.MergeHeartbeat(start+time.Second, host(4), balancerHeartbeat(true), versions(0, 0))
	must.True(t, tb.Isolated(start+1300*time.Millisecond))
	tb.MergeHeartbeat(start+time.Second, host(3), remote, versions(0, 0))
	must.False(t, tb.Isolated(start+1300*time.Millisecond))
}

// TestUnlistedSidecarsAreReported checks that a sidecar that a balancer reports as
// unlisted is included, without this process itself, until the report expires.
func TestUnlistedSidecarsAreReported(t *testing.T) {
	tb := newTable(1, membership.Sidecar)
	tb.MergeHeartbeat(start, host(3), membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, versions(0, 0))
	b := balancerHeartbeat(true)
	b.Unlisted = []registry.Host{host(1), host(5)}
	tb.MergeHeartbeat(start, host(2), b, versions(0, 0))
	must.Eq(t, []registry.Host{host(3), host(5)}, tb.Sidecars(start))
	must.SliceEmpty(t, tb.Sidecars(start+time.Minute))
}

// TestLossIsAcceptedFromSidecarsDataCentre checks that for a remote sidecar that is alive
// here, only balancers of its data centre can report its loss.
func TestLossIsAcceptedFromSidecarsDataCentre(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	sidecar := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.MergeHeartbeat(start, host(5), sidecar, versions(0, 0))
	b := balancerHeartbeat(true)
	b.Lost = []registry.Host{host(5)}
	tb.MergeHeartbeat(start+1, host(2), b, versions(0, 0)) // of data centre a
	must.SliceEmpty(t, tb.Lost(start+1))
	must.Eq(t, []registry.Host{host(5)}, tb.Sidecars(start+1))
	b.DataCentre = "b"
	tb.MergeHeartbeat(start+2, host(3), b, versions(0, 0))
	must.Eq(t, []registry.Host{host(5)}, tb.Lost(start+2))
	must.SliceEmpty(t, tb.Sidecars(start+2))
	tb.MergeHeartbeat(start+3, host(5), sidecar, versions(0, 0))
	must.SliceEmpty(t, tb.Lost(start+3))
}

// TestReceivedReportsAreNotRelayed checks that a balancer does not repeat the lost and
// unlisted sidecars that another one reported, which would circulate forever.
func TestReceivedReportsAreNotRelayed(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	b := balancerHeartbeat(true)
	b.Lost, b.Unlisted = []registry.Host{host(5)}, []registry.Host{host(6)}
	tb.MergeHeartbeat(start, host(2), b, versions(0, 0))
	must.SliceEmpty(t, tb.LocalLost(start))
	must.SliceEmpty(t, tb.LiveSidecars(start))
}

// TestAnnouncedStopDoesNotConfirmLoss guards against a reset by a balancer that lacks the
// announcement of a stop, because another one lists the sidecar as lost.
func TestAnnouncedStopDoesNotConfirmLoss(t *testing.T) {
	const restart = 1500 * time.Millisecond
	for name, c := range map[string]struct {
		ended bool
		after time.Duration
		lost  bool
	}{
		"restarting":      {after: restart},
		"slow to restart": {after: 6 * time.Second},
		"ended":           {ended: true, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			sidecar := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1, Stopping: true}
			sidecar.Load.Ended = c.ended
			tb.MergeHeartbeat(start, host(5), sidecar, versions(0, 0))
			must.Eq(t, c.lost, len(tb.LocalLost(start+c.after)) > 0)
		})
	}
}

// TestSidecarThatDoesNotComeBackIsLost guards against flows that stay with a sidecar that
// announced its stop and has not started again.
func TestSidecarThatDoesNotComeBackIsLost(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	stop := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1, Sequence: 1, Stopping: true}
	tb.MergeHeartbeat(start, host(2), stop, versions(0, 0))
	for now := start; now < start+15*time.Second; now += membership.HeartbeatInterval {
		for n := byte(3); n < 8; n++ {
			tb.MergeHeartbeat(now, host(n), membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1, Sequence: uint32(now / time.Millisecond)}, versions(0, 0))
		}
		tb.UpdateAbsent(now)
	}
	must.Positive(t, tb.AbsentSince(host(2)))
}

// TestAbsentSidecar checks when a silent sidecar counts as absent, depending on its last
// heartbeat and on the reports of another balancer.
func TestAbsentSidecar(t *testing.T) {
	sidecar := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	const silent = start + membership.LocalHeartbeatTimeout
	tests := map[string]struct {
		changeSidecar func(*membership.Heartbeat) // applied to the heartbeat of the sidecar
		changeOther   func(*membership.Heartbeat) // applied to the heartbeat of another balancer
		want          time.Duration
	}{
		"lost on all balancers":          {changeOther: func(b *membership.Heartbeat) { b.Lost = []registry.Host{host(2)} }, want: silent},
		"alive on another balancer":      {changeOther: func(*membership.Heartbeat) {}},
		"remote balancer does not count": {changeOther: func(b *membership.Heartbeat) { b.DataCentre = "b" }},
		"announced its stop": {
			changeSidecar: func(b *membership.Heartbeat) { b.Stopping = true },
			changeOther:   func(b *membership.Heartbeat) { b.Lost = []registry.Host{host(2)} },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			s, b := sidecar, balancerHeartbeat(true)
			if tc.changeSidecar != nil {
				tc.changeSidecar(&s)
			}
			tc.changeOther(&b)
			tb.MergeHeartbeat(start, host(2), s, versions(0, 0))
			tb.UpdateAbsent(start)
			must.Eq(t, 0, tb.AbsentSince(host(2)))
			tb.MergeHeartbeat(silent, host(3), b, versions(0, 0))
			tb.UpdateAbsent(silent)
			tb.UpdateAbsent(silent + 100*time.Millisecond)
			must.Eq(t, tc.want, tb.AbsentSince(host(2)))
			tb.MergeHeartbeat(silent+time.Second, host(2), sidecar, versions(0, 0))
			tb.UpdateAbsent(silent + time.Second)
			must.Eq(t, 0, tb.AbsentSince(host(2)))
		})
	}
}

// TestLoneBalancerDecidesByQueries checks that a balancer without another one in its data
// centre takes a silent sidecar for absent only after queries that were not answered, and
// early enough for a reset within 1.3 s. A datagram of any kind counts as an answer.
func TestLoneBalancerDecidesByQueries(t *testing.T) {
	for name, contact := range map[string]time.Duration{"silent": 0, "sends packets": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			remote := balancerHeartbeat(true)
			remote.DataCentre = "b"
			tb.MergeHeartbeat(start, host(2), membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, versions(0, 0))
			for after := time.Duration(0); after <= 1200*time.Millisecond; after += 50 * time.Millisecond {
				tb.MergeHeartbeat(start+after, host(3), remote, versions(0, 0))
				if after == contact {
					tb.RecordContact(start+after, host(2))
				}
				queried := tb.DueQueries(start + after)
				must.Eq(t, after >= 400*time.Millisecond, len(queried) == 1, must.Sprintf("after %v", after))
				tb.UpdateAbsent(start + after)
				if after <= membership.LocalHeartbeatTimeout {
					must.Eq(t, 0, tb.AbsentSince(host(2)))
				}
			}
			must.Eq(t, contact == 0, tb.AbsentSince(host(2)) != 0)
		})
	}
}

// TestOwnPauseIsNotCountedAsSilence checks that peers are alive after a pause of this
// process that is longer than their timeout.
func TestOwnPauseIsNotCountedAsSilence(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	tb.MergeHeartbeat(start, host(2), membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, versions(0, 0))
	const pause = 4 * time.Second
	must.False(t, tb.Alive(start+pause, host(2)))
	tb.AdjustForPause(start+pause, pause)
	must.True(t, tb.Alive(start+pause, host(2)))
}

// TestRemoteReportAloneDoesNotMarkAbsent checks that a sidecar of another data centre is
// not absent when a balancer there missed heartbeats of it, but this process received
// one within its interval.
func TestRemoteReportAloneDoesNotMarkAbsent(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	sidecar := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	report := balancerHeartbeat(true)
	report.DataCentre, report.Lost = "b", []registry.Host{host(2)}
	tb.MergeHeartbeat(start, host(2), sidecar, versions(0, 0))
	tb.MergeHeartbeat(start+700*time.Millisecond, host(3), report, versions(0, 0))
	tb.UpdateAbsent(start + 1100*time.Millisecond)
	must.Eq(t, 0, tb.AbsentSince(host(2)))
	tb.MergeHeartbeat(start+1200*time.Millisecond, host(3), report, versions(0, 0))
	tb.UpdateAbsent(start + 1300*time.Millisecond)
	must.Eq(t, start+1300*time.Millisecond, tb.AbsentSince(host(2)))
}

// TestDelayedHeartbeatsKeepSidecarAlive checks that a sidecar on an overloaded link stays
// alive: its heartbeats are delayed by 700 ms and by up to 300 ms of jitter.
func TestDelayedHeartbeatsKeepSidecarAlive(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	heartbeat := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	const delay = 700 * time.Millisecond
	for i := range 100 {
		jitter := time.Duration(i%7) * 50 * time.Millisecond
		at := start + time.Duration(i)*membership.HeartbeatInterval + delay + jitter
		tb.MergeHeartbeat(at, host(2), heartbeat, versions(0, 0))
		for _, after := range []time.Duration{0, 200 * time.Millisecond, membership.HeartbeatInterval} {
			tb.UpdateAbsent(at + after)
			must.True(t, tb.Alive(at+after, host(2)))
			must.Eq(t, 0, tb.AbsentSince(host(2)))
		}
	}
}

// TestStartingSidecarWaitsForBalancers checks that a new sidecar reads the store only
// after it received nothing from balancers for MaxStoreAge, and a new balancer at once.
func TestStartingSidecarWaitsForBalancers(t *testing.T) {
	tb := newTable(1, membership.Sidecar)
	must.False(t, tb.ShouldRead(start, 0))
	must.False(t, tb.ShouldRead(start+membership.MaxStoreAge-1, 0))
	must.True(t, tb.ShouldRead(start+membership.MaxStoreAge, 0))
	must.True(t, newTable(2, membership.Balancer).ShouldRead(start, 0))
}

// TestIsolatedBalancerMarksNoneAbsent guards against a balancer that is cut off from the
// network and takes the others for absent. From the cut on it receives only heartbeats
// of a balancer of another data centre that is cut off with it.
func TestIsolatedBalancerMarksNoneAbsent(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	local := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	remote := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	balancer := balancerHeartbeat(true)
	balancer.DataCentre = "b"
	tb.MergeHeartbeat(start-240*time.Millisecond, host(2), local, versions(0, 0))
	tb.MergeHeartbeat(start-100*time.Millisecond, host(3), local, versions(0, 0))
	tb.MergeHeartbeat(start-100*time.Millisecond, host(4), balancerHeartbeat(true), versions(0, 0))
	tb.MergeHeartbeat(start-900*time.Millisecond, host(5), remote, versions(0, 0))
	tb.MergeHeartbeat(start, host(6), remote, versions(0, 0))
	for after := time.Duration(0); after < 4*time.Second; after += 50 * time.Millisecond {
		tb.MergeHeartbeat(start+after, host(7), balancer, versions(0, 0))
		tb.UpdateAbsent(start + after)
		for n := byte(2); n <= 6; n++ {
			must.Eq(t, 0, tb.AbsentSince(host(n)), must.Sprintf("host %d, %v after the cut", n, after))
		}
	}
	// The link works again, but one sidecar stays silent. It is absent as soon as the
	// process is no longer lossy.
	const reconnected = start + 4*time.Second
	report := balancerHeartbeat(true)
	report.Lost = []registry.Host{host(2)}
	for after := time.Duration(0); after <= 2*time.Second; after += membership.HeartbeatInterval {
		tb.MergeHeartbeat(reconnected+after, host(3), local, versions(0, 0))
		tb.MergeHeartbeat(reconnected+after, host(4), report, versions(0, 0))
		tb.UpdateAbsent(reconnected + after)
		must.Eq(t, after < 2*time.Second, tb.Lossy(reconnected+after))
		must.Eq(t, after < 2*time.Second, tb.AbsentSince(host(2)) == 0, must.Sprintf("after %v", after))
		must.Eq(t, 0, tb.AbsentSince(host(3)))
	}
}
