package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// TestFormatBelongsToIncarnation guards against messages of version 2 to a host that was
// restarted with an older build, which ignores them: the host is sent version 1 until its
// present incarnation has sent version 2 or an offer. Late messages of the former
// incarnation change nothing.
func TestFormatBelongsToIncarnation(t *testing.T) {
	f, h := membership.NewFormats(membership.Format2), host(7)
	must.Eq(t, membership.Format1, f.Reads(h))
	f.RecordIncarnation(start, h, 100)
	must.Eq(t, membership.Format1, f.Reads(h))
	f.RecordReads(start, h, 100, membership.Format2)
	must.Eq(t, membership.Format2, f.Reads(h))
	f.RecordIncarnation(start, h, 100)
	must.Eq(t, membership.Format2, f.Reads(h))

	f.RecordIncarnation(start, h, 200)
	must.Eq(t, membership.Format1, f.Reads(h))
	f.RecordReads(start, h, 100, membership.Format2)
	f.RecordOffer(start, h, membership.FormatOffer{Oldest: 1, Newest: 2, Incarnation: 100})
	must.Eq(t, membership.Format1, f.Reads(h), must.Sprint("late messages of the former incarnation"))
	f.RecordOffer(start, h, membership.FormatOffer{Oldest: 1, Newest: 3, Incarnation: 200})
	must.Eq(t, membership.Format2, f.Reads(h))
	f.Reset(h)
	must.Eq(t, membership.Format1, f.Reads(h))
	f.RecordOffer(start, h, membership.FormatOffer{Oldest: 3, Newest: 4, Incarnation: 200})
	must.Eq(t, membership.Format1, f.Reads(h), must.Sprint("no common version"))
	f.RecordReads(start, h, 200, membership.Format2)
	f.Expire(start + time.Minute)
	must.Eq(t, membership.Format1, f.Reads(h))
}

// TestOffersAccompanyHeartbeats checks that the first message to a host and every fourth
// one comes with an offer until the host reads version 2, and again after it restarted.
func TestOffersAccompanyHeartbeats(t *testing.T) {
	f, h := membership.NewFormats(membership.Format2), host(7)
	sent := func(n int) (offers []int) {
		for i := range n {
			if f.RecordSent(start, h) {
				offers = append(offers, i)
			}
		}
		return offers
	}
	must.Eq(t, []int{0, 4, 8}, sent(9))
	f.RecordReads(start, h, 1, membership.Format2)
	f.RecordIncarnation(start, h, 2)
	must.Eq(t, []int{0, 4}, sent(6))
	old := membership.NewFormats(membership.Format1)
	must.False(t, old.RecordSent(start, h), must.Sprint("a build of version 1 sends no offers"))
}

// TestOffersAreAnsweredOnce guards against two processes that answer each other's offers
// forever.
func TestOffersAreAnsweredOnce(t *testing.T) {
	a, b := membership.NewFormats(membership.Format2), membership.NewFormats(membership.Format2)
	o := membership.FormatOffer{Oldest: 1, Newest: 2, Incarnation: 1}
	must.True(t, a.RecordSent(start, host(2)))
	must.True(t, b.RecordOffer(start, host(1), o))
	must.False(t, a.RecordOffer(start, host(2), o))
	must.False(t, b.RecordOffer(start+time.Millisecond, host(1), o))
}

// FuzzFormatOffer records arbitrary valid offers and checks that no version is chosen that
// this process does not have.
func FuzzFormatOffer(f *testing.F) {
	for _, o := range []membership.FormatOffer{{Oldest: 1, Newest: 2, Incarnation: 1 << 31}, {Oldest: 3, Newest: 255}, {}} {
		raw, err := wire.Encode(&o)
		must.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var o membership.FormatOffer
		if wire.Decode(raw, &o) != nil || o.Check() != nil {
			return
		}
		formats := membership.NewFormats(membership.Format2)
		formats.RecordOffer(start, host(1), o)
		if v := formats.Reads(host(1)); v < membership.Format1 || v > membership.Format2 {
			t.Fatalf("%+v selects version %d", o, v)
		}
	})
}

// TestUnreadableSidecarIsAlive guards against resets based on the silence of a sidecar that
// sends, but in a version that this process does not read: it stays alive, is not reported
// as lost and not absent, also when its previous incarnation announced a stop.
func TestUnreadableSidecarIsAlive(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	beat := func(at time.Duration, n byte, stopping bool) {
		b := heartbeatFrom("a", membership.Sidecar)
		b.Sequence, b.Stopping = uint32(at/time.Millisecond), stopping
		tb.MergeHeartbeat(at, host(n), b, versions(0, 0))
	}
	beat(start, 2, false)
	beat(start, 3, true)
	beat(start, 4, false)
	end := start + 30*time.Second
	for at := start; at <= end; at += membership.HeartbeatInterval {
		tb.RecordUnreadable(at, host(2))
		tb.RecordUnreadable(at, host(3))
		beat(at, 5, false)
		tb.UpdateAbsent(at)
		tb.Expire(at)
	}
	for _, n := range []byte{2, 3} {
		must.True(t, tb.Alive(end, host(n)))
		must.Zero(t, tb.AbsentSince(host(n)))
		must.SliceNotContains(t, tb.LocalLost(end), host(n))
		must.SliceNotContains(t, tb.Lost(end), host(n))
	}
	must.Nil(t, tb.Peer(host(4)))
	must.MapLen(t, 2, tb.Unreadable(end))
	for _, p := range tb.UpdatedSince(0) {
		must.NotEq(t, host(2), p.Host, must.Sprint("its last report is outdated"))
	}

	// When it is gone, it is given up as any other.
	var absent time.Duration
	for at := end; absent == 0 && at < end+5*time.Second; at += 50 * time.Millisecond {
		beat(at, 5, false)
		tb.DueQueries(at) // without another balancer, a loss needs unanswered queries
		tb.UpdateAbsent(at)
		absent = tb.AbsentSince(host(2))
	}
	must.Between(t, end, absent, end+time.Second)
}

// TestUnreadableHostIsNotAPeer checks that a host of which nothing is known but that it
// sends is neither a peer nor a target.
func TestUnreadableHostIsNotAPeer(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	tb.RecordUnreadable(start, host(2))
	tb.RecordUnreadable(start, host(1))
	must.Eq(t, map[registry.Host]time.Duration{host(2): start}, tb.Unreadable(start))
	must.Nil(t, tb.Peer(host(2)))
	must.MapEmpty(t, tb.Unreadable(start+time.Minute))
	tb.Expire(start + time.Minute)
	must.MapEmpty(t, tb.Unreadable(start))
}

// TestFieldsOfSameHeartbeatAreKept guards against fields of version 2 that are lost because
// a delegate of an older build reported the same heartbeat first.
func TestFieldsOfSameHeartbeatAreKept(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	b := heartbeatFrom("b", membership.Sidecar)
	later := b
	b.Format, later.Format, later.Load.Work = membership.Format1, membership.Format2, 400
	must.True(t, tb.MergeReport(start, 0, host(2), b, versions(0, 0)).Newer)
	must.True(t, tb.MergeReport(start, 0, host(2), later, versions(0, 0)).Newer)
	must.False(t, tb.MergeReport(start, 0, host(2), b, versions(0, 0)).Newer)
	must.Eq(t, 400, tb.Peer(host(2)).Heartbeat.Load.Work)
}
