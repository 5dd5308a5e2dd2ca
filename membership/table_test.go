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
func has(version, revision uint64) membership.Knowledge {
	return membership.Knowledge{Version: version, State: registry.State{Revision: revision}}
}

func balancerBeat(reading bool) membership.Beat {
	age := time.Hour
	if reading {
		age = 0
	}
	return membership.Beat{Role: membership.Balancer, DataCentre: "a", Incarnation: 1, Reading: reading, StoreAge: age}
}

// TestFewBalancersRead counts the readers among balancers that all hear each other.
func TestFewBalancersRead(t *testing.T) {
	const n = 6
	reading := 0
	for self := byte(1); self <= n; self++ {
		tb := table(self, membership.Balancer)
		tb.StoreAnswered(start)
		for other := byte(1); other <= n; other++ {
			tb.Heard(start, host(other), balancerBeat(true), has(0, 0))
		}
		if tb.ShouldRead(start, 0) {
			reading++
		}
	}
	must.Eq(t, 1, reading)
}

// TestOthersReadForThoseTurnedAway has the store answer none of the first balancers.
func TestOthersReadForThoseTurnedAway(t *testing.T) {
	tb := table(1, membership.Balancer)
	for other := byte(2); other <= 6; other++ {
		tb.Heard(start, host(other), balancerBeat(false), has(0, 0))
	}
	must.True(t, tb.ShouldRead(start, 0))
}

// TestSidecarReadsOnlyWhenNobodyElseDoes waits out its patience.
func TestSidecarReadsOnlyWhenNobodyElseDoes(t *testing.T) {
	tb := table(1, membership.Sidecar)
	tb.Heard(start, host(2), balancerBeat(true), has(0, 0))
	must.False(t, tb.ShouldRead(start+time.Second, 500*time.Millisecond))
	must.False(t, tb.ShouldRead(start+1900*time.Millisecond, 500*time.Millisecond))
	must.True(t, tb.ShouldRead(start+2*time.Second, 500*time.Millisecond))
	must.Eq(t, 2*time.Second, tb.StoreAge(start+2*time.Second))
}

// TestSilenceAndStopping end a peer's part in new flows.
func TestSilenceAndStopping(t *testing.T) {
	tb := table(1, membership.Balancer)
	b := membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	must.True(t, tb.Heard(start, host(2), b, has(0, 0)).Restarted)
	must.False(t, tb.Heard(start, host(2), b, has(0, 0)).Restarted)
	must.True(t, tb.Alive(start+membership.SuspectAfter-1, host(2)))
	must.False(t, tb.Alive(start+membership.SuspectAfter, host(2)))
	must.Eq(t, []registry.Host{host(2)}, tb.Lost(start+membership.SuspectAfter))
	b.Stopping = true
	tb.Heard(start, host(2), b, has(0, 0))
	must.False(t, tb.Alive(start, host(2)))
	b.Stopping, b.Incarnation = false, 2
	must.True(t, tb.Heard(start, host(2), b, has(0, 0)).Restarted)
	must.True(t, tb.Alive(start, host(2)))
}

// TestLostSidecarsTravel tells a sidecar of one that it never heard.
func TestLostSidecarsTravel(t *testing.T) {
	tb := table(1, membership.Sidecar)
	b := balancerBeat(true)
	b.Lost = []registry.Host{host(5)}
	tb.Heard(start, host(2), b, has(0, 0))
	must.Eq(t, []registry.Host{host(5)}, tb.Lost(start))
	must.SliceEmpty(t, tb.Lost(start+10*membership.SuspectAfter))
	tb.Heard(start, host(5), membership.Beat{Role: membership.Sidecar, Incarnation: 1}, has(0, 0))
	must.SliceEmpty(t, tb.Lost(start))
}

// TestTargetsGrow begins with the seeds and learns balancers by name.
func TestTargetsGrow(t *testing.T) {
	tb := table(1, membership.Balancer)
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start, membership.ReachWide, nil))
	b := balancerBeat(true)
	b.Balancers = []registry.Host{host(1), host(3), host(9)}
	must.True(t, tb.Heard(start, host(9), b, has(0, 0)).Named)
	must.False(t, tb.Heard(start, host(9), b, has(0, 0)).Named)
	must.Eq(t, []registry.Host{host(3), host(4), host(9)}, tb.Targets(start, membership.ReachWide, []registry.Host{host(4), host(9)}))
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start, membership.ReachNear, nil))
	tb.Expire(start + time.Minute)
	must.Eq(t, []registry.Host{host(9)}, tb.Targets(start+time.Minute, membership.ReachWide, nil))
}

// TestNewestPeer prefers the own data centre, and another peer after a failure.
func TestNewestPeer(t *testing.T) {
	tb := table(1, membership.Balancer)
	must.Nil(t, tb.Newest(start, has(0, 0), registry.Host{}))
	near, far := balancerBeat(true), balancerBeat(true)
	near.State.Revision, far.State.Revision, far.DataCentre = 5, 6, "b"
	must.True(t, tb.Heard(start, host(2), near, has(0, 4)).Ahead)
	tb.Heard(start, host(3), far, has(0, 4))
	must.Eq(t, host(2), tb.Newest(start, has(0, 4), registry.Host{}).Host)
	must.Eq(t, host(3), tb.Newest(start, has(0, 4), host(2)).Host)
	must.Eq(t, host(3), tb.Newest(start, has(0, 5), registry.Host{}).Host)
	must.Nil(t, tb.Newest(start, has(0, 6), registry.Host{}))
	must.Nil(t, tb.Newest(start+time.Minute, has(0, 4), registry.Host{}))
}

// TestBeatTravels encodes a heartbeat as peers do, and refuses nonsense.
func TestBeatTravels(t *testing.T) {
	want := membership.Beat{
		Role:        membership.Sidecar,
		DataCentre:  "a",
		Incarnation: 1 << 30,
		Version:     3,
		Load:        membership.Load{Flows: 3, Active: 1, Busy: 900, Silent: true},
		Balancers:   []registry.Host{host(1)},
	}
	raw, err := wire.Encode(want)
	must.NoError(t, err)
	var got membership.Beat
	must.NoError(t, wire.Decode(raw, &got))
	must.NoError(t, got.Check())
	must.Eq(t, want, got)
	must.Error(t, (&membership.Beat{}).Check())
	must.Error(t, (&membership.Beat{Role: membership.Sidecar, StoreAge: -1}).Check())
}

// TestFarProcessesAreHeardLessOften gives processes of other data centres more time.
func TestFarProcessesAreHeardLessOften(t *testing.T) {
	tb := table(1, membership.Balancer)
	b := membership.Beat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.Heard(start, host(2), b, has(0, 0))
	must.True(t, tb.Alive(start+membership.FarEvery*membership.BeatInterval*2, host(2)))
	must.False(t, tb.Alive(start+membership.FarEvery*membership.SuspectAfter, host(2)))
	b.DataCentre = "a"
	tb.Heard(start, host(3), b, has(0, 0))
	must.False(t, tb.Alive(start+membership.SuspectAfter, host(3)))
}

// TestAlone needs sidecars that were heard once, and the silence of all of them.
// A balancer that is cut off together with this one does not count.
func TestAlone(t *testing.T) {
	tb := table(1, membership.Balancer)
	must.False(t, tb.Alone(start+time.Hour))
	near := membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	far := membership.Beat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.Heard(start, host(2), near, has(0, 0))
	tb.Heard(start, host(3), far, has(0, 0))
	must.False(t, tb.Alone(start+membership.FarEvery*membership.BeatInterval))
	must.True(t, tb.Alone(start+1300*time.Millisecond))
	tb.Heard(start+time.Second, host(4), balancerBeat(true), has(0, 0))
	must.True(t, tb.Alone(start+1300*time.Millisecond))
	tb.Heard(start+time.Second, host(3), far, has(0, 0))
	must.False(t, tb.Alone(start+1300*time.Millisecond))
}

// TestUnlistedSidecarsTravel tells a sidecar of a live one that it does not hear.
func TestUnlistedSidecarsTravel(t *testing.T) {
	tb := table(1, membership.Sidecar)
	tb.Heard(start, host(3), membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, has(0, 0))
	b := balancerBeat(true)
	b.Unlisted = []registry.Host{host(1), host(5)}
	tb.Heard(start, host(2), b, has(0, 0))
	must.Eq(t, []registry.Host{host(3), host(5)}, tb.Sidecars(start))
	must.SliceEmpty(t, tb.Sidecars(start+time.Minute))
}

// TestLossIsBelievedToNearBalancers tells of a sidecar of another data centre that this process still hears.
func TestLossIsBelievedToNearBalancers(t *testing.T) {
	tb := table(1, membership.Balancer)
	side := membership.Beat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	tb.Heard(start, host(5), side, has(0, 0))
	b := balancerBeat(true)
	b.Lost = []registry.Host{host(5)}
	tb.Heard(start+1, host(2), b, has(0, 0)) // of data centre a
	must.SliceEmpty(t, tb.Lost(start+1))
	must.Eq(t, []registry.Host{host(5)}, tb.Sidecars(start+1))
	b.DataCentre = "b"
	tb.Heard(start+2, host(3), b, has(0, 0))
	must.Eq(t, []registry.Host{host(5)}, tb.Lost(start+2))
	must.SliceEmpty(t, tb.Sidecars(start+2))
	tb.Heard(start+3, host(5), side, has(0, 0))
	must.SliceEmpty(t, tb.Lost(start+3))
}

// TestReportsDoNotGoRound lets two balancers tell each other of sidecars that neither hears.
func TestReportsDoNotGoRound(t *testing.T) {
	tb := table(1, membership.Balancer)
	b := balancerBeat(true)
	b.Lost, b.Unlisted = []registry.Host{host(5)}, []registry.Host{host(6)}
	tb.Heard(start, host(2), b, has(0, 0))
	must.SliceEmpty(t, tb.LostNear(start))
	must.SliceEmpty(t, tb.LiveSidecars(start))
}

// TestAbsentSidecar falls silent while balancers of its data centre hear it or not.
func TestAbsentSidecar(t *testing.T) {
	sidecar := membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	const silent = start + membership.SuspectAfter
	tests := map[string]struct {
		beat  func(*membership.Beat) // of the sidecar
		other func(*membership.Beat) // of another balancer
		want  time.Duration
	}{
		"nobody hears it":            {other: func(b *membership.Beat) { b.Lost = []registry.Host{host(2)} }, want: silent},
		"another balancer hears it":  {other: func(*membership.Beat) {}},
		"one elsewhere may not know": {other: func(b *membership.Beat) { b.DataCentre = "b" }, want: silent},
		"it said that it stops": {
			beat:  func(b *membership.Beat) { b.Stopping = true },
			other: func(b *membership.Beat) { b.Lost = []registry.Host{host(2)} },
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
			tb.Heard(start, host(2), s, has(0, 0))
			tb.NoteAbsent(start)
			must.Eq(t, 0, tb.Absent(host(2)))
			tb.Heard(silent, host(3), b, has(0, 0))
			tb.NoteAbsent(silent)
			tb.NoteAbsent(silent + 100*time.Millisecond)
			must.Eq(t, tc.want, tb.Absent(host(2)))
			tb.Heard(silent+time.Second, host(2), sidecar, has(0, 0))
			tb.NoteAbsent(silent + time.Second)
			must.Eq(t, 0, tb.Absent(host(2)))
		})
	}
}

// TestOwnPauseIsNoSilence wakes after four seconds.
func TestOwnPauseIsNoSilence(t *testing.T) {
	tb := table(1, membership.Balancer)
	tb.Heard(start, host(2), membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}, has(0, 0))
	const pause = 4 * time.Second
	must.False(t, tb.Alive(start+pause, host(2)))
	tb.Woke(start+pause, pause)
	must.True(t, tb.Alive(start+pause, host(2)))
}

// TestAbsenceIsNotBelievedOnHearsay has a balancer of the sidecar's data centre that
// missed heartbeats of it, while this process, elsewhere, had one within its interval.
func TestAbsenceIsNotBelievedOnHearsay(t *testing.T) {
	tb := table(1, membership.Balancer)
	elsewhere := membership.Beat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	report := balancerBeat(true)
	report.DataCentre, report.Lost = "b", []registry.Host{host(2)}
	tb.Heard(start, host(2), elsewhere, has(0, 0))
	tb.Heard(start+700*time.Millisecond, host(3), report, has(0, 0))
	tb.NoteAbsent(start + 1100*time.Millisecond)
	must.Eq(t, 0, tb.Absent(host(2)))
	tb.Heard(start+1200*time.Millisecond, host(3), report, has(0, 0))
	tb.NoteAbsent(start + 1300*time.Millisecond)
	must.Eq(t, start+1300*time.Millisecond, tb.Absent(host(2)))
}

// TestLateHeartbeatsAreNoSilence has a choked instance: its heartbeats wait for
// 700 ms at its link and arrive with up to 300 ms between them.
func TestLateHeartbeatsAreNoSilence(t *testing.T) {
	tb := table(1, membership.Balancer)
	beat := membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	const late = 700 * time.Millisecond
	for i := range 100 {
		jitter := time.Duration(i%7) * 50 * time.Millisecond
		at := start + time.Duration(i)*membership.BeatInterval + late + jitter
		tb.Heard(at, host(2), beat, has(0, 0))
		for _, after := range []time.Duration{0, 200 * time.Millisecond, membership.BeatInterval} {
			tb.NoteAbsent(at + after)
			must.True(t, tb.Alive(at+after, host(2)))
			must.Eq(t, 0, tb.Absent(host(2)))
		}
	}
}

// TestStartingSidecarWaitsForBalancers asks the store itself only when nobody told it anything for a while.
func TestStartingSidecarWaitsForBalancers(t *testing.T) {
	tb := table(1, membership.Sidecar)
	must.False(t, tb.ShouldRead(start, 0))
	must.False(t, tb.ShouldRead(start+membership.FreshStore-1, 0))
	must.True(t, tb.ShouldRead(start+membership.FreshStore, 0))
	must.True(t, table(2, membership.Balancer).ShouldRead(start, 0))
}

// TestCutOffBalancerGivesNobodyUp hears everyone until it is cut off, and then only a
// balancer of another data centre that is cut off with it.
func TestCutOffBalancerGivesNobodyUp(t *testing.T) {
	tb := table(1, membership.Balancer)
	near := membership.Beat{Role: membership.Sidecar, DataCentre: "a", Incarnation: 1}
	far := membership.Beat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 1}
	fellow := balancerBeat(true)
	fellow.DataCentre = "b"
	tb.Heard(start-240*time.Millisecond, host(2), near, has(0, 0))
	tb.Heard(start-100*time.Millisecond, host(3), near, has(0, 0))
	tb.Heard(start-100*time.Millisecond, host(4), balancerBeat(true), has(0, 0))
	tb.Heard(start-900*time.Millisecond, host(5), far, has(0, 0))
	tb.Heard(start, host(6), far, has(0, 0))
	for after := time.Duration(0); after < 4*time.Second; after += 50 * time.Millisecond {
		tb.Heard(start+after, host(7), fellow, has(0, 0))
		tb.NoteAbsent(start + after)
		for n := byte(2); n <= 6; n++ {
			must.Eq(t, 0, tb.Absent(host(n)), must.Sprintf("host %d, %v after the cut", n, after))
		}
	}
	// The link is whole again, but one sidecar stays silent.
	const healed = start + 4*time.Second
	tb.Heard(healed, host(3), near, has(0, 0))
	report := balancerBeat(true)
	report.Lost = []registry.Host{host(2)}
	tb.Heard(healed, host(4), report, has(0, 0))
	tb.NoteAbsent(healed)
	must.Eq(t, healed, tb.Absent(host(2)))
	must.Eq(t, 0, tb.Absent(host(3)))
}
