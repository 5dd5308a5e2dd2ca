package flow_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"
)

// regression is a case that failed once.
type regression struct {
	test, seed, cause string
}

// run runs the case in a process of its own, since the seed is a flag.
func (r regression) run(t *testing.T) {
	t.Helper()
	self, err := os.Executable()
	must.NoError(t, err)
	out, err := exec.CommandContext(t.Context(), self, "-test.run=^"+r.test+"$",
		"-rapid.seed="+r.seed, "-rapid.checks=1", "-rapid.shrinktime=0s").CombinedOutput()
	must.NoError(t, err, must.Sprintf("%s seed %s: %s\n%.2000s", r.test, r.seed, r.cause, out))
}

// TestRequestRunsOnceInAPartition plays a case that is not mended, see KNOWN-RED.txt.
func TestRequestRunsOnceInAPartition(t *testing.T) {
	t.Parallel()
	regression{"TestStatefulFaults", "155242", "a request ran at two upstreams during a partition"}.run(t)
}

// TestRegressionSeeds plays the cases that were mended.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	cases := []regression{
		{"TestStatefulPlanned", "3114732797", "a refusal said that nothing ran while copies walked under an older order of candidates"},
		{"TestStatefulFaults", "6609507", "a sidecar that had been alone took itself for fenced when upstreams of another service joined"},
		{"TestStatefulPlanned", "503008", "a new upstream raised the majority, and an owner took itself for fenced"},
		{"TestStatefulPlanned", "884694", "a sidecar behind the packet's bundle took a flow that it had passed on"},
		{"TestStatefulPlanned", "4145", "a flow was opened at an address that its former service did not know to have moved"},
		{"TestStatefulPlanned", "34668", "a member that a bundle had just added was taken for silent, so that nobody waited for it"},
		{"TestStatefulPlanned", "128306", "as before, with one upstream of each service"},
		{"TestStatefulPlanned", "42090", "a sidecar of another service was sure of a refusal while the flow was owned"},
		{"TestStatefulFaults", "100753", "a flow was forgotten a moment before its idle time was over"},
		{"TestStatefulPlanned", "1800657", "a first candidate behind the packet's bundle searched again for a flow that it had passed on"},
		{"TestStatefulPlanned", "148967433", "a sidecar followed a memory from before an order that it skipped, under which the flow was opened elsewhere"},
		{"TestStatefulPlanned", "128756", "a sidecar forgot where it had passed a flow on to when it was asked under a newer bundle"},
		{"TestStatefulPlanned", "26336", "a sidecar of another service followed a memory of an older order"},
		{"TestStatefulPlanned", "198956381", "an upstream that changed its service took flows on the word of those of the former one, and gave them up as fenced"},
		{"TestStatefulFaults", "159808504", "a sidecar to which a flow was handed on refused it as not run, though the search had skipped its owner"},
		{"TestStatefulFaults", "22561688", "an owner that had taken over did not notice, without a newer list, that the first candidate was back, which forgot the flow"},
		{"TestStatefulFaults", "191155132", "a flow was forgotten while all balancers were paused for longer than its idle time, which is allowed"},
	}
	for _, c := range cases {
		c.run(t)
	}
}
