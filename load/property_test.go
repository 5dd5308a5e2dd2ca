package load_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/load"
	"pgregory.net/rapid"
)

func drawView(t *rapid.T) load.View {
	return load.View{
		Slots:       rapid.IntRange(1, 100).Draw(t, "slots"),
		InUse:       rapid.IntRange(0, 200).Draw(t, "in use"),
		Queue:       rapid.IntRange(0, 1000).Draw(t, "queue"),
		Connections: rapid.IntRange(0, 10_000).Draw(t, "connections"),
		Rate:        rapid.Float64Range(0, 1000).Draw(t, "rate"),
		Limit:       rapid.IntRange(1, 10_000).Draw(t, "limit"),
		Weight:      rapid.IntRange(1, 1000).Draw(t, "weight"),
		ServiceTime: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "service time")),
		NextFree:    time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "next free")),
		Ramp:        rapid.Float64Range(0.001, 1).Draw(t, "ramp"),
		Failing:     rapid.Bool().Draw(t, "failing"),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

func drawOpening(t *rapid.T) load.Opening {
	o := load.Opening{
		Hash:          rapid.Uint64().Draw(t, "hash"),
		EligibleCount: rapid.IntRange(1, 32).Draw(t, "eligible count"),
		MaxWait:       time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "max wait")),
	}
	o.PassedCount = rapid.IntRange(0, o.EligibleCount-1).Draw(t, "passed count")
	for i := range o.Loads {
		o.Loads[i] = rapid.Uint32().Draw(t, "load")
	}
	for i := range o.Candidates {
		o.Candidates[i] = bundle.UpstreamID(rapid.IntRange(0, 12).Draw(t, "candidate"))
	}
	return o
}

// TestDecideInvariants checks for any policy, view, opening and peers that no
// leaving or full upstream accepts, that a pass has a next candidate, and that a
// refusal means that no candidate is left or that the opening cannot wait.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ps := load.NewPeers(load.PeersConfig{Service: service, Upstream: 1})
		for i := range rapid.IntRange(0, 9).Draw(t, "peers") {
			ps.AddReport(load.NewReport(service, bundle.UpstreamID(i+2), 1, drawView(t)), 0, start)
		}
		p := rapid.SampledFrom([]load.Policy{load.Hashing{}, load.TwoChoices{}, load.AcceptOrPass{}}).Draw(t, "policy")
		own, o := drawView(t), drawOpening(t)
		last := o.PassedCount == o.EligibleCount-1
		d := load.Decide(p, o, own, ps)
		switch d.Verdict {
		case load.Accept:
			if own.Leaving || own.Connections >= own.Limit {
				t.Fatalf("a leaving or full upstream accepted a flow: %+v", own)
			}
		case load.Pass:
			if last {
				t.Fatalf("passed the opening without a next candidate")
			}
		case load.Refuse:
			if !last && d.Reason != load.ReasonDeadline {
				t.Fatalf("refused the opening for reason %s with candidates left", d.Reason)
			}
		default:
			t.Fatalf("unknown verdict %d", d.Verdict)
		}
		if again := load.Decide(p, o, own, ps); again != d {
			t.Fatalf("two decisions about the same opening differ: %v and %v", d, again)
		}
	})
}

// TestPeersTotalMatchesReports compares a Peers that added, replaced and removed
// reports with one to which only the remaining ones were added. A total that
// drifts from the stored reports makes their decisions differ.
func TestPeersTotalMatchesReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated := load.NewPeers(load.PeersConfig{Service: service, Upstream: 1})
		remaining := make(map[bundle.UpstreamID]load.Report)
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := bundle.UpstreamID(rapid.IntRange(2, 6).Draw(t, "upstream"))
			if rapid.Bool().Draw(t, "remove") {
				updated.Remove(id)
				delete(remaining, id)
				continue
			}
			r := load.NewReport(service, id, uint64(i+1), drawView(t))
			if updated.AddReport(r, 0, start) {
				remaining[id] = r
			}
		}
		fresh := load.NewPeers(load.PeersConfig{Service: service, Upstream: 1})
		for _, r := range remaining {
			fresh.AddReport(r, 0, start)
		}
		own, o := drawView(t), drawOpening(t)
		got, want := load.Decide(load.AcceptOrPass{}, o, own, updated), load.Decide(load.AcceptOrPass{}, o, own, fresh)
		if got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
