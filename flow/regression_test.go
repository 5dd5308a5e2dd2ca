package flow_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"
)

// regression is a case that failed before.
type regression struct {
	test, seed, cause string
}

// run runs the case in a separate process, since the seed is a flag.
func (r regression) run(t *testing.T) {
	t.Helper()
	self, err := os.Executable()
	must.NoError(t, err)
	out, err := exec.CommandContext(t.Context(), self, "-test.run=^"+r.test+"$",
		"-rapid.seed="+r.seed, "-rapid.checks=1", "-rapid.shrinktime=0s").CombinedOutput()
	must.NoError(t, err, must.Sprintf("%s seed %s: %s\n%.2000s", r.test, r.seed, r.cause, out))
}

// TestFlowStaysWhenItsOnlyPeerLeaves guards against fencing an owner whose only peer moved to another service.
func TestFlowStaysWhenItsOnlyPeerLeaves(t *testing.T) {
	t.Parallel()
	regression{"TestStatefulPlanned", "4278755", "a sidecar whose only peer moved to another service gave its flows up before it received the bundle"}.run(t)
}

// TestRegressionSeeds runs the cases that have been fixed.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	cases := []regression{
		{"TestStatefulPlanned", "72470498", "the only member of a service was fenced while an upstream that joined it did not have the bundle yet, and gave its flows up"},
		{"TestStatefulPlanned", "12055387", "a sidecar that had passed a flow on before it skipped to a newer order accepted the flow when the home passed it on again under the order that the home had kept"},
		{"TestStatefulPlanned", "10066812", "an opening retransmitted under an older bundle, which listed the owner with its former service, replaced the entry of the established flow"},
		{"TestStatefulPlanned", "3114732797", "a refusal reported a request as not run while copies of it were in transit under an older order of candidates"},
		{"TestStatefulFaults", "6609507", "a sidecar that had been the only member was fenced when upstreams of another service joined"},
		{"TestStatefulPlanned", "503008", "a new upstream raised the majority, and an owner was fenced"},
		{"TestStatefulPlanned", "884694", "a sidecar with an older bundle than the packet's accepted a flow that it had passed on"},
		{"TestStatefulPlanned", "4145", "a flow was opened at a moved address before its former service had the bundle that moved it"},
		{"TestStatefulPlanned", "34668", "a member that a bundle had just added was treated as silent, so that its acknowledgement was not awaited"},
		{"TestStatefulPlanned", "128306", "same as seed 34668, with one upstream of each service"},
		{"TestStatefulPlanned", "42090", "a sidecar of another service refused a flow without a search while the flow was owned"},
		{"TestStatefulFaults", "100753", "a flow was removed shortly before its idle time ended"},
		{"TestStatefulPlanned", "1800657", "a home with an older bundle than the packet's searched again for a flow that it had passed on"},
		{"TestStatefulPlanned", "148967433", "a sidecar used an entry older than an order that it skipped, under which the flow was opened elsewhere"},
		{"TestStatefulPlanned", "128756", "a sidecar lost the target of a flow that it had passed on when it answered a search under a newer bundle"},
		{"TestStatefulPlanned", "26336", "a sidecar of another service used an entry made under an older order"},
		{"TestStatefulPlanned", "198956381", "an upstream that switched services accepted flows because members of the former service confirmed its reports, and was then fenced"},
		{"TestStatefulFaults", "159808504", "a sidecar that a flow was passed on to refused it as not run, although the search had skipped its owner"},
		{"TestStatefulFaults", "22561688", "an owner that had taken over did not detect, without a newer list, that the home was back, and the home removed its entry of the flow"},
		{"TestStatefulFaults", "155242", "a sidecar passed a flow on again after the upstream that it had passed it to was lost, although that one had passed it on to a live owner"},
		{"TestStatefulFaults", "191155132", "a flow was removed while all balancers were paused for longer than its idle time, which is allowed"},
	}
	for _, c := range cases {
		c.run(t)
	}
}
