package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// in returns a beat of a process in a data centre.
func in(dataCentre string, role membership.Role) membership.Heartbeat {
	return membership.Heartbeat{Role: role, DataCentre: dataCentre, Incarnation: 1, Sequence: 1, StoreAge: time.Hour}
}

// TestDigestRoundTrip encodes a digest as delegates do, and refuses nonsense.
func TestDigestRoundTrip(t *testing.T) {
	beats := []membership.Heartbeat{
		{
			Role: membership.Sidecar, DataCentre: "a", Incarnation: 1 << 31, Sequence: 7, Version: 4, State: registry.State{Revision: 90}, Stopping: true,
			Load: membership.Load{Flows: 3, Active: 2, Busy: 900, Silent: true, Refusing: true, Failing: true},
		},
		{Role: membership.Balancer, DataCentre: "b", Incarnation: 2, Version: 6, State: registry.State{Era: 2, Revision: 101}, Reading: true, Lost: []registry.Host{host(9)}},
	}
	d := membership.Digest{DataCentre: "a", Version: 5, State: registry.State{Era: 1, Revision: 100}, StoreAge: time.Second}
	d = d.WithReport(host(1), &beats[0], 250*time.Millisecond).WithReport(host(2), &beats[1], 0)
	raw, err := wire.Encode(d)
	must.NoError(t, err)
	var got membership.Digest
	must.NoError(t, wire.Decode(raw, &got))
	must.NoError(t, got.Check())
	must.Eq(t, 250, got.Reports[0].Age)
	for i := range beats {
		must.Eq(t, beats[i], got.Heartbeat(i))
	}
	got.Reports[1].Role = 9
	must.Error(t, got.Check())
	got.Reports[1].Role, got.Reports[0].Age = membership.Balancer, -1
	must.Error(t, got.Check())
	got.Reports[0].Age = 1 << 62
	must.Error(t, got.Check())
	must.Error(t, (&membership.Digest{StoreAge: -1}).Check())
}

// FuzzDigest takes in whatever decodes as a digest.
func FuzzDigest(f *testing.F) {
	b := in("b", membership.Sidecar)
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
		tb := table(1, membership.Balancer)
		for i := range d.Reports {
			r := &d.Reports[i]
			tb.MergeReport(start, time.Duration(r.Age)*time.Millisecond, r.Host, d.Heartbeat(i), has(1, 1))
			if p := tb.Peer(r.Host); p != nil && p.LastSeen > start {
				t.Fatalf("%s is heard at %v, which is yet to come", r.Host, p.LastSeen)
			}
		}
		tb.UpdateAbsent(start)
		tb.DigestTargets(start)
		tb.PullSource(start, has(1, 1), registry.Host{})
	})
}

// TestReportsDoNotReplaceNewerHeartbeats has reports arrive late and twice.
func TestReportsDoNotReplaceNewerHeartbeats(t *testing.T) {
	const far = 2
	tb := table(1, membership.Balancer)
	b := in("b", membership.Sidecar)
	must.True(t, tb.MergeReport(start, 300*time.Millisecond, host(far), b, has(0, 0)).Restarted)
	must.Eq(t, start-300*time.Millisecond, tb.Peer(host(far)).LastSeen)
	must.False(t, tb.MergeReport(start, 0, host(far), b, has(0, 0)).Newer, must.Sprint("the same beat by another way"))

	newer := b
	newer.Sequence, newer.Stopping = 3, true
	must.True(t, tb.MergeHeartbeat(start, host(far), newer, has(0, 0)).Changed)
	older := b
	older.Sequence = 2
	must.False(t, tb.MergeReport(start+time.Millisecond, 0, host(far), older, has(0, 0)).Newer)
	must.False(t, tb.MergeHeartbeat(start+time.Millisecond, host(far), older, has(0, 0)).Newer)
	must.True(t, tb.Peer(host(far)).Heartbeat.Stopping)

	again := b
	again.Incarnation, again.Sequence = 2, 1
	must.True(t, tb.MergeHeartbeat(start+time.Second, host(far), again, has(0, 0)).Restarted)
	must.False(t, tb.MergeReport(start+time.Second, 50*time.Millisecond, host(far), newer, has(0, 0)).Newer, must.Sprint("of the incarnation before"))
}

// TestBalancersAgreeOnDelegates lets all balancers of a data centre name the same two.
func TestBalancersAgreeOnDelegates(t *testing.T) {
	const n = 6
	var want []registry.Host
	speaking := 0
	for self := byte(1); self <= n; self++ {
		tb := table(self, membership.Balancer)
		for other := byte(1); other <= n; other++ {
			tb.MergeHeartbeat(start, host(other), in("a", membership.Balancer), has(0, 0))
		}
		got := tb.Delegates(start, "a")
		must.Len(t, 2, got)
		if want == nil {
			want = got
		}
		must.Eq(t, want, got)
		if tb.IsDelegate(start) {
			speaking++
		}
	}
	must.Eq(t, 2, speaking)
	must.False(t, table(1, membership.Sidecar).IsDelegate(start))
}

// TestSilentDigestTargetIsReplaced loses a delegate, and a partner in another data centre.
func TestSilentDigestTargetIsReplaced(t *testing.T) {
	tb := table(1, membership.Balancer)
	for n := byte(2); n <= 4; n++ {
		tb.MergeHeartbeat(start, host(n), in("b", membership.Balancer), has(0, 0))
	}
	must.Len(t, 1, tb.DigestTargets(start))
	partner := tb.DigestTargets(start)[0]
	must.SliceContains(t, tb.RemoteDelegates(start), partner)

	// Another one of there sends digests, and the partner does not.
	var other registry.Host
	for n := byte(2); n <= 4; n++ {
		if host(n) != partner {
			other = host(n)
		}
	}
	tb.RecordDigestSender(start, other, "b")
	must.Eq(t, []registry.Host{other}, tb.DigestTargets(start))
	tb.RecordDigestSender(start, partner, "b")
	must.Eq(t, []registry.Host{partner}, tb.DigestTargets(start))
}

// TestDataCentresReconnectAfterSilence has two data centres fall silent for each other, so
// that neither hears of a balancer of the other.
func TestDataCentresReconnectAfterSilence(t *testing.T) {
	tb := table(1, membership.Balancer)
	for n := byte(2); n <= 4; n++ {
		tb.MergeReport(start, 0, host(n), in("b", membership.Balancer), has(0, 0))
	}
	const silent = start + 5*time.Second
	must.SliceEmpty(t, tb.Delegates(silent, "b"))
	all := []registry.Host{host(2), host(3), host(4)}
	must.Eq(t, all, tb.DigestTargets(silent))
	must.Eq(t, all, tb.RemoteDelegates(silent))
	must.SliceEmpty(t, tb.DigestTargets(start+time.Minute))
}

// TestHeartbeatsStayInTheDataCentre counts whom processes of a large fleet send
// heartbeats to: balancers of the data centre, whatever the size of the others.
func TestHeartbeatsStayInTheDataCentre(t *testing.T) {
	const near, farDelegates = 12, 4 * 2
	speaking := 0
	for self := byte(200); self < 200+near; self++ {
		balancer, sidecar := table(self, membership.Balancer), table(self, membership.Sidecar)
		for n := byte(1); n <= 60; n++ {
			for _, tb := range []*membership.Table{balancer, sidecar} {
				centre := string('a' + rune(n%5))
				tb.MergeHeartbeat(start, host(n), in(centre, membership.Balancer), has(0, 0))
				tb.MergeReport(start, 0, host(100+n), in(centre, membership.Sidecar), has(0, 0))
			}
		}
		must.Len(t, near, balancer.Targets(start, membership.ScopeBalancers, nil))
		must.Len(t, near, sidecar.Targets(start, membership.ScopeBalancers, nil))
		must.Len(t, near, sidecar.Targets(start, membership.ScopeAll, nil))
		want := near + near // balancers and sidecars
		if balancer.IsDelegate(start) {
			speaking++
			want += farDelegates + 1 // a seed
		}
		must.Len(t, want, balancer.Targets(start, membership.ScopeAll, nil))
	}
	must.Positive(t, speaking)
}

// TestSidecarsAreAssignedToTwoBalancers has each sidecar of a data centre told by two of its balancers.
func TestSidecarsAreAssignedToTwoBalancers(t *testing.T) {
	const balancers, sidecars = 12, 27
	told := make(map[registry.Host]int)
	for self := byte(1); self <= balancers; self++ {
		tb := table(self, membership.Balancer)
		for n := byte(1); n <= balancers; n++ {
			tb.MergeHeartbeat(start, host(n), in("a", membership.Balancer), has(0, 0))
		}
		for n := byte(100); n < 100+sidecars; n++ {
			tb.MergeHeartbeat(start, host(n), in("a", membership.Sidecar), has(0, 0))
		}
		charges := tb.AssignedSidecars(start)
		must.Less(t, sidecars/2, len(charges))
		for _, h := range charges {
			told[h]++
		}
	}
	must.MapLen(t, sidecars, told)
	for h, n := range told {
		must.Eq(t, 2, n, must.Sprint(h))
	}
}

// TestSidecarWithoutLocalBalancers tells those of other data centres of itself, and
// gets their heartbeats as a guest.
func TestSidecarWithoutLocalBalancers(t *testing.T) {
	sidecar := table(1, membership.Sidecar)
	sidecar.MergeHeartbeat(start, host(2), in("a", membership.Balancer), has(0, 0))
	sidecar.MergeReport(start, 0, host(3), in("b", membership.Balancer), has(0, 0))
	must.Eq(t, []registry.Host{host(2)}, sidecar.Targets(start, membership.ScopeDataCentre, nil))
	const silent = start + 6*membership.SuspectAfter
	sidecar.MergeReport(silent, 0, host(3), membership.Heartbeat{Role: membership.Balancer, DataCentre: "b", Incarnation: 1, Sequence: 2}, has(0, 0))
	must.Eq(t, []registry.Host{host(2), host(3), host(9)}, sidecar.Targets(silent, membership.ScopeDataCentre, nil))

	balancer := table(3, membership.Balancer)
	balancer.MergeReport(start, 0, host(4), in("b", membership.Sidecar), has(0, 0))
	must.SliceEmpty(t, balancer.DirectRemoteSidecars(start))
	balancer.MergeHeartbeat(start, host(5), in("b", membership.Sidecar), has(0, 0))
	must.Eq(t, []registry.Host{host(5)}, balancer.DirectRemoteSidecars(start))
	must.Eq(t, []registry.Host{host(5)}, balancer.AssignedSidecars(start))
	balancer.MergeReport(start, 0, host(6), in("b", membership.Balancer), has(0, 0))
	must.SliceEmpty(t, balancer.AssignedSidecars(start), must.Sprint("the balancer there tells it"))
	must.SliceEmpty(t, balancer.DirectRemoteSidecars(start+time.Minute))
}

// TestSilentDelegatesMarkNoneAbsent has the digests of one data centre fail for
// seconds, while others arrive. Later one of its balancers says that a sidecar is lost.
func TestSilentDelegatesMarkNoneAbsent(t *testing.T) {
	tb := table(1, membership.Balancer)
	beat := func(at time.Duration, n byte, b membership.Heartbeat, lost ...registry.Host) {
		b.Sequence, b.Lost = uint32(at/time.Millisecond), lost
		tb.MergeReport(at, 0, host(n), b, has(0, 0))
		tb.UpdateAbsent(at)
	}
	beat(start, 2, in("b", membership.Sidecar))
	beat(start, 3, in("b", membership.Balancer))
	for after := time.Duration(0); after < 5*time.Second; after += 100 * time.Millisecond {
		for n := byte(4); n < 9; n++ {
			beat(start+after, n, in("c", membership.Sidecar))
		}
		must.Eq(t, 0, tb.AbsentSince(host(2)), must.Sprintf("%v after the last digest", after))
	}
	const silent = start + 5*time.Second
	must.False(t, tb.Alive(silent, host(2)))
	must.True(t, tb.Suspected(silent, host(2)))
	beat(silent, 3, in("b", membership.Balancer), host(2))
	must.Eq(t, silent, tb.AbsentSince(host(2)))
	must.False(t, tb.Suspected(silent, host(2)))
}

// TestPullsWaitForDelegates has news of another data centre reach a sidecar
// before its delegates have fetched them.
func TestPullsWaitForDelegates(t *testing.T) {
	tb := table(1, membership.Sidecar)
	tb.MergeHeartbeat(start, host(2), in("a", membership.Balancer), has(0, 0))
	far := in("b", membership.Balancer)
	far.Version = 5
	tb.MergeReport(start, 0, host(3), far, has(0, 0))
	must.Nil(t, tb.PullSource(start, has(4, 0), registry.Host{}))
	near := in("a", membership.Balancer)
	near.Version, near.Sequence = 5, 2
	tb.MergeHeartbeat(start+100*time.Millisecond, host(2), near, has(4, 0))
	must.Eq(t, host(2), tb.PullSource(start+100*time.Millisecond, has(4, 0), registry.Host{}).Host)

	late := table(1, membership.Sidecar)
	late.MergeHeartbeat(start, host(2), in("a", membership.Balancer), has(0, 0))
	late.MergeReport(start, 0, host(3), far, has(0, 0))
	must.Eq(t, host(3), late.PullSource(start+time.Second, has(4, 0), registry.Host{}).Host)
}
