package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// heartbeatFrom returns a heartbeat of a process in a data centre.
func heartbeatFrom(dataCentre string, role membership.Role) membership.Heartbeat {
	return membership.Heartbeat{Role: role, DataCentre: dataCentre, Incarnation: 1, Sequence: 1, StoreAge: time.Hour}
}

// TestDigestRoundTrip checks that a digest survives encoding and decoding, and that
// invalid digests are rejected.
func TestDigestRoundTrip(t *testing.T) {
	heartbeats := []membership.Heartbeat{
		{
			Role: membership.Sidecar, DataCentre: "a", Incarnation: 1 << 31, Sequence: 7, Version: 4, State: registry.State{Revision: 90}, Stopping: true,
			Load: membership.Load{Flows: 3, Active: 2, Busy: 900, Silent: true, Refusing: true, Failing: true},
		},
		{Role: membership.Balancer, DataCentre: "b", Incarnation: 2, Version: 6, State: registry.State{Era: 2, Revision: 101}, Reading: true, Lost: []registry.Host{host(9)}},
	}
	d := membership.Digest{DataCentre: "a", Version: 5, State: registry.State{Era: 1, Revision: 100}, StoreAge: time.Second}
	d = d.WithReport(host(1), &heartbeats[0], 250*time.Millisecond).WithReport(host(2), &heartbeats[1], 0)
	raw, err := wire.Encode(d)
	must.NoError(t, err)
	var got membership.Digest
	must.NoError(t, wire.Decode(raw, &got))
	must.NoError(t, got.Check())
	must.Eq(t, 250, got.Reports[0].Age)
	for i := range heartbeats {
		must.Eq(t, heartbeats[i], got.Heartbeat(i))
	}
	got.Reports[1].Role = 9
	must.Error(t, got.Check())
	got.Reports[1].Role, got.Reports[0].Age = membership.Balancer, -1
	must.Error(t, got.Check())
	got.Reports[0].Age = 1 << 62
	must.Error(t, got.Check())
	must.Error(t, (&membership.Digest{StoreAge: -1}).Check())
}

// FuzzDigest merges arbitrary valid digests and checks that no process is seen in the future.
func FuzzDigest(f *testing.F) {
	b := heartbeatFrom("b", membership.Sidecar)
	b.Lost = []registry.Host{host(9)}
	raw, err := wire.Encode(membership.Digest{DataCentre: "a", Version: 5}.WithReport(host(2), &b, time.Second))
	must.NoError(f, err)
	f.Add(raw)
	f.Add([]byte("\x81\xa1r\x91\xc0"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var d membership.Digest
		if wire.Decode(raw, &d) != nil || d.Check() != nil {
			return
		}
		tb := newTable(1, membership.Balancer)
		for i := range d.Reports {
			r := &d.Reports[i]
			tb.MergeReport(start, time.Duration(r.Age)*time.Millisecond, r.Host, d.Heartbeat(i), versions(1, 1))
			if p := tb.Peer(r.Host); p != nil && p.LastSeen > start {
				t.Fatalf("%s was last seen at %v, which is in the future", r.Host, p.LastSeen)
			}
		}
		tb.UpdateAbsent(start)
		tb.DigestTargets(start)
		tb.PullSource(start, versions(1, 1), registry.Host{})
	})
}

// TestReportsDoNotReplaceNewerHeartbeats checks that delayed and duplicate reports are ignored.
func TestReportsDoNotReplaceNewerHeartbeats(t *testing.T) {
	const remote = 2
	tb := newTable(1, membership.Balancer)
	b := heartbeatFrom("b", membership.Sidecar)
	must.True(t, tb.MergeReport(start, 300*time.Millisecond, host(remote), b, versions(0, 0)).Restarted)
	must.Eq(t, start-300*time.Millisecond, tb.Peer(host(remote)).LastSeen)
	must.False(t, tb.MergeReport(start, 0, host(remote), b, versions(0, 0)).Newer, must.Sprint("the same heartbeat by another path"))

	newer := b
	newer.Sequence, newer.Stopping = 3, true
	must.True(t, tb.MergeHeartbeat(start, host(remote), newer, versions(0, 0)).Changed)
	older := b
	older.Sequence = 2
	must.False(t, tb.MergeReport(start+time.Millisecond, 0, host(remote), older, versions(0, 0)).Newer)
	must.False(t, tb.MergeHeartbeat(start+time.Millisecond, host(remote), older, versions(0, 0)).Newer)
	must.True(t, tb.Peer(host(remote)).Heartbeat.Stopping)

	restarted := b
	restarted.Incarnation, restarted.Sequence = 2, 1
	must.True(t, tb.MergeHeartbeat(start+time.Second, host(remote), restarted, versions(0, 0)).Restarted)
	must.False(t, tb.MergeReport(start+time.Second, 50*time.Millisecond, host(remote), newer, versions(0, 0)).Newer, must.Sprint("report of the previous incarnation"))
}

// TestBalancersAgreeOnDelegates checks that all balancers of a data centre compute the
// same two delegates.
func TestBalancersAgreeOnDelegates(t *testing.T) {
	const n = 6
	var want []registry.Host
	delegates := 0
	for self := byte(1); self <= n; self++ {
		tb := newTable(self, membership.Balancer)
		for other := byte(1); other <= n; other++ {
			tb.MergeHeartbeat(start, host(other), heartbeatFrom("a", membership.Balancer), versions(0, 0))
		}
		got := tb.Delegates(start, "a")
		must.Len(t, 2, got)
		if want == nil {
			want = got
		}
		must.Eq(t, want, got)
		if tb.IsDelegate(start) {
			delegates++
		}
	}
	must.Eq(t, 2, delegates)
	must.False(t, newTable(1, membership.Sidecar).IsDelegate(start))
}

// TestSilentDigestTargetIsReplaced checks that digests go to another balancer of a data
// centre when it sends digests and the present target does not.
func TestSilentDigestTargetIsReplaced(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	for n := byte(2); n <= 4; n++ {
		tb.MergeHeartbeat(start, host(n), heartbeatFrom("b", membership.Balancer), versions(0, 0))
	}
	must.Len(t, 1, tb.DigestTargets(start))
	target := tb.DigestTargets(start)[0]
	must.SliceContains(t, tb.RemoteDelegates(start), target)

	// Another balancer of the data centre sends digests, and the target does not.
	var other registry.Host
	for n := byte(2); n <= 4; n++ {
		if host(n) != target {
			other = host(n)
		}
	}
	tb.RecordDigestSender(start, other, "b")
	must.Eq(t, []registry.Host{other}, tb.DigestTargets(start))
	tb.RecordDigestSender(start, target, "b")
	must.Eq(t, []registry.Host{target}, tb.DigestTargets(start))
}

// TestDataCentresReconnectAfterSilence checks that after a partition, when all balancers
// of the other data centre have timed out, digests and heartbeats go to all known ones.
// Otherwise neither side would send first.
func TestDataCentresReconnectAfterSilence(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	for n := byte(2); n <= 4; n++ {
		tb.MergeReport(start, 0, host(n), heartbeatFrom("b", membership.Balancer), versions(0, 0))
	}
	const silent = start + 5*time.Second
	must.SliceEmpty(t, tb.Delegates(silent, "b"))
	all := []registry.Host{host(2), host(3), host(4)}
	must.Eq(t, all, tb.DigestTargets(silent))
	must.Eq(t, all, tb.RemoteDelegates(silent))
	must.SliceEmpty(t, tb.DigestTargets(start+time.Minute))
}

// TestHeartbeatsStayInTheDataCentre checks that the number of targets in a large fleet
// depends on the size of the data centre and not on that of the others.
func TestHeartbeatsStayInTheDataCentre(t *testing.T) {
	const local, remoteDelegates = 12, 4 * 2
	delegates := 0
	for self := byte(200); self < 200+local; self++ {
		balancer, sidecar := newTable(self, membership.Balancer), newTable(self, membership.Sidecar)
		for n := byte(1); n <= 60; n++ {
			for _, tb := range []*membership.Table{balancer, sidecar} {
				dataCentre := string('a' + rune(n%5))
				tb.MergeHeartbeat(start, host(n), heartbeatFrom(dataCentre, membership.Balancer), versions(0, 0))
				tb.MergeReport(start, 0, host(100+n), heartbeatFrom(dataCentre, membership.Sidecar), versions(0, 0))
			}
		}
		must.Len(t, local, balancer.Targets(start, membership.ScopeBalancers, nil))
		must.Len(t, local, sidecar.Targets(start, membership.ScopeBalancers, nil))
		must.Len(t, local, sidecar.Targets(start, membership.ScopeAll, nil))
		want := local + local // balancers and sidecars
		if balancer.IsDelegate(start) {
			delegates++
			want += remoteDelegates + 1 // and a seed
		}
		must.Len(t, want, balancer.Targets(start, membership.ScopeAll, nil))
	}
	must.Positive(t, delegates)
}

// TestSidecarsAreAssignedToTwoBalancers checks that each sidecar of a data centre is
// assigned to exactly two of its balancers, and that the assignment is spread.
func TestSidecarsAreAssignedToTwoBalancers(t *testing.T) {
	const balancers, sidecars = 12, 27
	count := make(map[registry.Host]int)
	for self := byte(1); self <= balancers; self++ {
		tb := newTable(self, membership.Balancer)
		for n := byte(1); n <= balancers; n++ {
			tb.MergeHeartbeat(start, host(n), heartbeatFrom("a", membership.Balancer), versions(0, 0))
		}
		for n := byte(100); n < 100+sidecars; n++ {
			tb.MergeHeartbeat(start, host(n), heartbeatFrom("a", membership.Sidecar), versions(0, 0))
		}
		assigned := tb.AssignedSidecars(start)
		must.Less(t, sidecars/2, len(assigned))
		for _, h := range assigned {
			count[h]++
		}
	}
	must.MapLen(t, sidecars, count)
	for h, n := range count {
		must.Eq(t, 2, n, must.Sprint(h))
	}
}

// TestSidecarWithoutLocalBalancers checks that a sidecar without live balancers in its
// data centre sends heartbeats to those of others, and that a balancer there sends digests to it.
func TestSidecarWithoutLocalBalancers(t *testing.T) {
	sidecar := newTable(1, membership.Sidecar)
	sidecar.MergeHeartbeat(start, host(2), heartbeatFrom("a", membership.Balancer), versions(0, 0))
	sidecar.MergeReport(start, 0, host(3), heartbeatFrom("b", membership.Balancer), versions(0, 0))
	must.Eq(t, []registry.Host{host(2)}, sidecar.Targets(start, membership.ScopeDataCentre, nil))
	const silent = start + 6*membership.LocalHeartbeatTimeout
	sidecar.MergeReport(silent, 0, host(3), membership.Heartbeat{Role: membership.Balancer, DataCentre: "b", Incarnation: 1, Sequence: 2}, versions(0, 0))
	must.Eq(t, []registry.Host{host(2), host(3), host(9)}, sidecar.Targets(silent, membership.ScopeDataCentre, nil))

	balancer := newTable(3, membership.Balancer)
	balancer.MergeReport(start, 0, host(4), heartbeatFrom("b", membership.Sidecar), versions(0, 0))
	must.SliceEmpty(t, balancer.DirectRemoteSidecars(start))
	balancer.MergeHeartbeat(start, host(5), heartbeatFrom("b", membership.Sidecar), versions(0, 0))
	must.Eq(t, []registry.Host{host(5)}, balancer.DirectRemoteSidecars(start))
	must.Eq(t, []registry.Host{host(5)}, balancer.AssignedSidecars(start))
	balancer.MergeReport(start, 0, host(6), heartbeatFrom("b", membership.Balancer), versions(0, 0))
	must.SliceEmpty(t, balancer.AssignedSidecars(start), must.Sprint("its data centre has a live balancer"))
	must.SliceEmpty(t, balancer.DirectRemoteSidecars(start+time.Minute))
}

// TestSilentDelegatesMarkNoneAbsent checks that the sidecars of a data centre are suspected
// but not absent while its digests are missing for seconds and those of others arrive.
// Later a balancer there reports a sidecar as lost, which makes it absent.
func TestSilentDelegatesMarkNoneAbsent(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	report := func(at time.Duration, n byte, b membership.Heartbeat, lost ...registry.Host) {
		b.Sequence, b.Lost = uint32(at/time.Millisecond), lost
		tb.MergeReport(at, 0, host(n), b, versions(0, 0))
		tb.UpdateAbsent(at)
	}
	report(start, 2, heartbeatFrom("b", membership.Sidecar))
	report(start, 3, heartbeatFrom("b", membership.Balancer))
	for after := time.Duration(0); after < 5*time.Second; after += 100 * time.Millisecond {
		for n := byte(4); n < 9; n++ {
			report(start+after, n, heartbeatFrom("c", membership.Sidecar))
		}
		must.Eq(t, 0, tb.AbsentSince(host(2)), must.Sprintf("%v after the last digest", after))
	}
	const silent = start + 5*time.Second
	must.False(t, tb.Alive(silent, host(2)))
	must.True(t, tb.Suspected(silent, host(2)))
	report(silent, 3, heartbeatFrom("b", membership.Balancer), host(2))
	must.Eq(t, silent, tb.AbsentSince(host(2)))
	must.False(t, tb.Suspected(silent, host(2)))
}

// TestPullsWaitForDelegates checks that a sidecar that receives a report of newer routes
// in another data centre waits for its delegates to pull them, but not forever.
func TestPullsWaitForDelegates(t *testing.T) {
	tb := newTable(1, membership.Sidecar)
	tb.MergeHeartbeat(start, host(2), heartbeatFrom("a", membership.Balancer), versions(0, 0))
	remote := heartbeatFrom("b", membership.Balancer)
	remote.Version = 5
	tb.MergeReport(start, 0, host(3), remote, versions(0, 0))
	must.Nil(t, tb.PullSource(start, versions(4, 0), registry.Host{}))
	local := heartbeatFrom("a", membership.Balancer)
	local.Version, local.Sequence = 5, 2
	tb.MergeHeartbeat(start+100*time.Millisecond, host(2), local, versions(4, 0))
	must.Eq(t, host(2), tb.PullSource(start+100*time.Millisecond, versions(4, 0), registry.Host{}).Host)

	late := newTable(1, membership.Sidecar)
	late.MergeHeartbeat(start, host(2), heartbeatFrom("a", membership.Balancer), versions(0, 0))
	late.MergeReport(start, 0, host(3), remote, versions(0, 0))
	must.Eq(t, host(3), late.PullSource(start+time.Second, versions(4, 0), registry.Host{}).Host)
}
