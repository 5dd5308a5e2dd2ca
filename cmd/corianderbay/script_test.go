package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/ctl"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	scriptPorts  = 60
	firstPort    = 20_000
	lastPort     = 29_999
	firstNetwork = 200
	networks     = 50
	awaitTimeout = time.Minute
	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"corianderbay": main,
		"corianderctl": runCtl,
	})
}

func runCtl() {
	os.Exit(setting.Execute(testContext(), ctl.NewCommand(ctl.Config{})))
}

// TestScripts runs each script in testdata/script, with each role in its own process.
func TestScripts(t *testing.T) {
	ports := &portRange{next: firstPort + os.Getpid()%(lastPort-firstPort)}
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: ports.assign,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand":    expandFile,
			"publish":   publishFile,
			"instances": listInstances,
			"await":     awaitVersion,
			"awaitfile": awaitFile,
			"sleep":     sleepFor,
			"audit":     auditRuns,
			"keyenv":    keyToEnv,
			"term":      terminate,
			"spray":     setBalancers,
		},
	})
}

// portRange allocates unused loopback ports, each only once. They are below the
// ephemeral ports of the system, so that no other test gets one of them before a
// script's processes bind it. It is safe for concurrent use, since scripts run
// concurrently.
type portRange struct {
	mu   sync.Mutex
	next int // guarded by mu
}

// assign sets the variables P1 to P60 to ports, and NETWORK to the second byte of
// loopback addresses.
func (r *portRange) assign(env *testscript.Env) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	env.Setenv("NETWORK", strconv.Itoa(firstNetwork+os.Getpid()%networks))
	for i := range scriptPorts {
		for !isFree(r.next) {
			r.next = nextPort(r.next)
		}
		env.Setenv(fmt.Sprintf("P%d", i+1), strconv.Itoa(r.next))
		r.next = nextPort(r.next)
	}
	return nil
}

// nextPort returns the port after port, wrapping around at lastPort.
func nextPort(port int) int {
	if port >= lastPort {
		return firstPort
	}
	return port + 1
}

// isFree reports whether the port is unused for both UDP and TCP.
func isFree(port int) bool {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	if err != nil {
		return false
	}
	defer conn.Close()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// expandFile implements expand FROM TO. It copies a file and expands the script's
// variables in it.
func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// keyToEnv implements keyenv NAME. It sets a variable to the public key in the
// output of the preceding "corianderctl key new".
func keyToEnv(ts *testscript.TestScript, _ bool, args []string) {
	found := regexp.MustCompile(`key: "([^"]+)"`).FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		ts.Fatalf("the output contains no public key")
	}
	ts.Setenv(args[0], found[1])
}

// publishFile implements publish FILE SEQUENCE ADMIN-ADDRESS. It publishes a
// frozen bundle on the platform.
func publishFile(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, "http://"+args[2]+"/admin/publications/bundle?sequence="+args[1], ts.ReadFile(args[0]))
}

// listInstances implements instances FILE ADMIN-ADDRESS. It sets the instance list
// of the platform.
func listInstances(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, "http://"+args[1]+"/admin/instances", ts.ReadFile(args[0]))
}

// put repeats an HTTP PUT request until it succeeds, since the stand-in may still
// be starting.
func put(ts *testscript.TestScript, url, body string) {
	poll(ts, url, func() bool {
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
		ts.Check(err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode < http.StatusMultipleChoices
	})
}

// awaitVersion implements await SEQUENCE OPERATOR-ADDRESS... It waits until each
// process is ready and has the bundle, or a later one, in force.
func awaitVersion(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	for _, address := range args[1:] {
		poll(ts, address, func() bool {
			resp, err := http.Get("http://" + address + "/status")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			var s operator.Status
			return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Version >= want && s.Ready
		})
	}
}

// awaitFile implements awaitfile FILE. It waits until the file exists.
func awaitFile(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, args[0], func() bool {
		_, err := os.Stat(ts.MkAbs(args[0]))
		return err == nil
	})
}

// setBalancers implements spray STATUS-ADDRESS BALANCER... It sets the balancers
// over which the fabric spreads packets.
func setBalancers(ts *testscript.TestScript, _ bool, args []string) {
	body, err := json.Marshal(args[1:])
	ts.Check(err)
	put(ts, "http://"+args[0]+"/balancers", string(body))
}

// terminate implements term ARGUMENT... It sends SIGTERM to the first background
// process whose arguments include all the given ones.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	for _, cmd := range ts.BackgroundCmds() {
		if containsAll(cmd.Args, args) {
			ts.Check(cmd.Process.Signal(syscall.SIGTERM))
			return
		}
	}
	ts.Fatalf("no background process has the arguments %v", args)
}

func containsAll(have, want []string) bool {
	for _, w := range want {
		if !slices.Contains(have, w) {
			return false
		}
	}
	return true
}

// sleepFor implements sleep DURATION, which gives the processes time to work.
func sleepFor(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	ts.Check(timer.New(timer.Config{}).Sleep(testContext(), d))
}

// auditRuns implements audit FILE... It checks that no request ran twice, by the
// run lists of the upstreams.
func auditRuns(ts *testscript.TestScript, _ bool, args []string) {
	var runs []standin.Run
	for _, name := range args {
		for line := range strings.Lines(ts.ReadFile(name)) {
			var some []standin.Run
			ts.Check(json.Unmarshal([]byte(line), &some))
			runs = append(runs, some...)
		}
	}
	a := standin.NewAudit(runs, nil)
	ts.Logf("%d runs, %d duplicates", a.Runs, a.DoubleRuns)
	if !a.Clean() || a.Runs == 0 {
		ts.Fatalf("audit failed: %d runs, %d duplicates", a.Runs, a.DoubleRuns)
	}
}

// poll waits until condition returns true. It fails the script after awaitTimeout.
func poll(ts *testscript.TestScript, subject string, condition func() bool) {
	clock := timer.New(timer.Config{})
	begin := clock.Now()
	for !condition() {
		if clock.Since(begin) > awaitTimeout {
			ts.Fatalf("%s: condition not met after %s", subject, awaitTimeout)
		}
		ts.Check(clock.Sleep(testContext(), pollInterval))
	}
}
