package membership_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// TestReportedSidecarIsNotLost guards against a balancer that has started and gives up, alone, a
// sidecar whose announced stop it cannot have received.
func TestReportedSidecarIsNotLost(t *testing.T) {
	for name, direct := range map[string]bool{"reported": false, "direct": true} {
		t.Run(name, func(t *testing.T) {
			tb := newTable(1, membership.Balancer)
			const last = start + 5*time.Second
			heartbeats(tb, start, last, []byte{3, 4, 5, 6, 7, 8}, nil)
			b := sidecarOf(1, 1)
			b.DataCentre = "a"
			if direct {
				tb.MergeHeartbeat(last, host(2), b, versions(0, 0))
			} else {
				tb.MergeReport(last, 0, host(2), b, versions(0, 0))
			}
			absent := absentAfter(tb, last) != 0
			must.Eq(t, direct, absent)
			must.Eq(t, direct, len(tb.LocalLost(last+3*time.Second)) > 0)
		})
	}
}

// TestReportedSidecarIsNotLostAfterRestart guards against a balancer that gives up a sidecar
// which knows it no longer: only its former process sent it heartbeats.
func TestReportedSidecarIsNotLostAfterRestart(t *testing.T) {
	tb := newTable(1, membership.Balancer)
	const last = start + 5*time.Second
	heartbeats(tb, start, last, []byte{3, 4, 5, 6, 7, 8}, nil)
	b := sidecarOf(1, 1)
	b.DataCentre = "a"
	tb.MergeHeartbeat(last-2*time.Second, host(2), b, versions(0, 0))
	b.Stopping, b.Sequence = true, 2
	tb.MergeHeartbeat(last-time.Second, host(2), b, versions(0, 0))
	b.Stopping, b.Incarnation, b.Sequence = false, 2, 1
	tb.MergeReport(last, 0, host(2), b, versions(0, 0))
	must.Zero(t, absentAfter(tb, last))
	must.SliceEmpty(t, tb.LocalLost(last+3*time.Second))
}

// exchangeHeartbeats merges heartbeats of sidecars 3 to 8 and of all balancers, the keys of
// tables, into the table of each balancer, from one time until another.
func exchangeHeartbeats(tables map[byte]*membership.Table, from, until time.Duration) {
	for now := from; now < until; now += membership.QueryInterval {
		lost := make(map[byte][]registry.Host)
		for n, tb := range tables {
			lost[n] = tb.LocalLost(now)
		}
		for _, tb := range tables {
			if (now-from)%membership.HeartbeatInterval == 0 {
				heartbeats(tb, now, now+1, []byte{3, 4, 5, 6, 7, 8}, nil)
			}
			for n := range tables {
				b := balancerHeartbeat(true)
				b.Sequence, b.Lost = uint32(now/time.Millisecond), lost[n]
				tb.MergeHeartbeat(now, host(n), b, versions(0, 0))
			}
			tb.DueQueries(now)
			tb.UpdateAbsent(now)
		}
	}
}

// TestStartedBalancersDoNotConfirmReportedLoss guards against balancers that have started
// together and confirm to each other the loss of a sidecar whose announced stop they cannot
// have received: its flows would be reset in a planned restart.
func TestStartedBalancersDoNotConfirmReportedLoss(t *testing.T) {
	tables := map[byte]*membership.Table{1: newTable(1, membership.Balancer), 9: newTable(9, membership.Balancer)}
	const stopped = start + 2*time.Second
	exchangeHeartbeats(tables, start, stopped)
	for _, tb := range tables {
		b := sidecarOf(1, 1)
		b.DataCentre = "a"
		tb.MergeReport(stopped, 0, host(2), b, versions(0, 0))
	}
	exchangeHeartbeats(tables, stopped, stopped+5*time.Second)
	for n, tb := range tables {
		must.Zero(t, tb.AbsentSince(host(2)), must.Sprint("at ", host(n)))
		must.SliceEmpty(t, tb.LocalLost(stopped+5*time.Second))
	}
}

// TestReportedLossIsConfirmed guards against a balancer that has started and keeps the others
// from giving up a killed sidecar, of which it has received no heartbeat.
func TestReportedLossIsConfirmed(t *testing.T) {
	tables := map[byte]*membership.Table{1: newTable(1, membership.Balancer), 9: newTable(9, membership.Balancer)}
	const killed = start + 2*time.Second
	exchangeHeartbeats(tables, start, killed)
	b := sidecarOf(1, 1)
	b.DataCentre = "a"
	tables[1].MergeHeartbeat(killed, host(2), b, versions(0, 0))
	tables[9].MergeReport(killed, 0, host(2), b, versions(0, 0))
	exchangeHeartbeats(tables, killed, killed+time.Second)
	for n, tb := range tables {
		must.NonZero(t, tb.AbsentSince(host(2)), must.Sprint("at ", host(n)))
	}
}

// TestReportedSidecarThatStaysAwayIsLost guards against flows of a sidecar that nobody gives
// up, since all balancers know it only from reports.
func TestReportedSidecarThatStaysAwayIsLost(t *testing.T) {
	tables := map[byte]*membership.Table{1: newTable(1, membership.Balancer), 9: newTable(9, membership.Balancer)}
	const killed = start + 2*time.Second
	exchangeHeartbeats(tables, start, killed)
	for _, tb := range tables {
		b := sidecarOf(1, 1)
		b.DataCentre = "a"
		tb.MergeReport(killed, 0, host(2), b, versions(0, 0))
	}
	exchangeHeartbeats(tables, killed, killed+13*time.Second)
	for n, tb := range tables {
		must.NonZero(t, tb.AbsentSince(host(2)), must.Sprint("at ", host(n)))
	}
}

// TestBalancersDoNotConfirmLossWithoutEvidence guards against two balancers that confirm to each
// other the loss of a sidecar as soon as the other balancers stop: they have started and know it
// from reports alone, or do not receive its heartbeats while the others do.
func TestBalancersDoNotConfirmLossWithoutEvidence(t *testing.T) {
	for name, reported := range map[string]bool{"known from reports": true, "heard by others": false} {
		t.Run(name, func(t *testing.T) {
			const stop = start + 6*time.Second // of the other balancer
			tables := map[byte]*membership.Table{1: newTable(1, membership.Balancer), 2: newTable(2, membership.Balancer)}
			for _, tb := range tables {
				sidecars := []byte{3, 4, 5, 6, 7, 8}
				if reported {
					sidecars = sidecars[1:]
				}
				heartbeats(tb, start, stop-3*time.Second, sidecars, []byte{9})
			}
			meet(tables, stop-3*time.Second, stop, []byte{9}, func(*membership.Table, time.Duration) {})
			for _, tb := range tables {
				if reported {
					b := sidecarOf(1, 1)
					b.DataCentre = "a"
					tb.MergeReport(stop, 0, host(3), b, versions(0, 0))
				}
				other := balancerHeartbeat(true)
				other.Sequence, other.Stopping = uint32(stop/time.Millisecond), true
				tb.MergeHeartbeat(stop, host(9), other, versions(0, 0))
			}
			meet(tables, stop, stop+8*time.Second, nil, func(tb *membership.Table, now time.Duration) {
				must.Zero(t, tb.AbsentSince(host(3)), must.Sprint(now-stop))
				must.SliceEmpty(t, tb.LocalLost(now), must.Sprint(now-stop))
			})
		})
	}
}

// TestLossOfSidecarHeardByOthersIsAccepted guards against a balancer that does not receive the
// heartbeats of a sidecar, and therefore keeps the others from giving it up when it is killed.
func TestLossOfSidecarHeardByOthersIsAccepted(t *testing.T) {
	const (
		silent = start + 3*time.Second // from then on table 1 does not hear sidecar 3
		killed = start + 7*time.Second
	)
	tables := map[byte]*membership.Table{1: newTable(1, membership.Balancer), 2: newTable(2, membership.Balancer)}
	for _, tb := range tables {
		heartbeats(tb, start, silent, []byte{3, 4, 5, 6, 7, 8}, nil)
	}
	meet(tables, silent, killed, nil, func(tb *membership.Table, now time.Duration) {
		if tb == tables[2] && (now-silent)%membership.HeartbeatInterval == 0 {
			heartbeats(tb, now, now+1, []byte{3}, nil)
		}
	})
	meet(tables, killed, killed+1200*time.Millisecond, nil, func(*membership.Table, time.Duration) {})
	for _, tb := range tables {
		must.Positive(t, tb.AbsentSince(host(3)))
	}
}

// meet lets the balancers of two tables exchange heartbeats, and receive those of the sidecars 4
// to 8 and of other balancers.
func meet(tables map[byte]*membership.Table, from, until time.Duration, balancers []byte, check func(tb *membership.Table, now time.Duration)) {
	for now := from; now < until; now += membership.QueryInterval {
		for _, self := range []byte{1, 2} {
			tb := tables[self]
			if (now-from)%membership.HeartbeatInterval == 0 {
				heartbeats(tb, now, now+1, []byte{4, 5, 6, 7, 8}, balancers)
			}
			b := balancerHeartbeat(true)
			b.Sequence, b.Lost = uint32(now/time.Millisecond), tables[3-self].LocalLost(now)
			tb.MergeHeartbeat(now, host(3-self), b, versions(0, 0))
			tb.DueQueries(now)
			tb.UpdateAbsent(now)
			check(tb, now)
		}
	}
}
