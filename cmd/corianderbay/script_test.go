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
	awaitEvery   = 20 * time.Millisecond
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

// TestScripts runs each script in testdata/script with every role as a process of its own.
func TestScripts(t *testing.T) {
	ports := &portRange{next: firstPort + os.Getpid()%(lastPort-firstPort)}
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: ports.give,
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
			"spray":     sprayOver,
		},
	})
}

// portRange hands out ports of the loopback interface that nobody listens on,
// each only once. They are below those that the system hands out by itself, so
// that no other test is given one before a script's processes bind it. It is
// safe for concurrent use: scripts run side by side.
type portRange struct {
	mu   sync.Mutex
	next int // guarded by mu
}

// give sets P1 to P60, and NETWORK to the second number of loopback addresses.
func (r *portRange) give(env *testscript.Env) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	env.Setenv("NETWORK", strconv.Itoa(firstNetwork+os.Getpid()%networks))
	for i := range scriptPorts {
		for !isFree(r.next) {
			r.next = after(r.next)
		}
		env.Setenv(fmt.Sprintf("P%d", i+1), strconv.Itoa(r.next))
		r.next = after(r.next)
	}
	return nil
}

// after returns the port to try next.
func after(port int) int {
	if port >= lastPort {
		return firstPort
	}
	return port + 1
}

// isFree reports whether nobody listens on the port, over UDP or TCP.
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

// expandFile writes a copy of a file with the variables of the script filled in: expand FROM TO.
func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// keyToEnv sets a variable to the public key that "corianderctl key new" has just printed: keyenv NAME.
func keyToEnv(ts *testscript.TestScript, _ bool, args []string) {
	found := regexp.MustCompile(`key: "([^"]+)"`).FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		ts.Fatalf("no public key was printed")
	}
	ts.Setenv(args[0], found[1])
}

// publishFile puts a frozen bundle on the platform: publish FILE SEQUENCE ADMIN-ADDRESS.
func publishFile(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, "http://"+args[2]+"/admin/publications/bundle?sequence="+args[1], ts.ReadFile(args[0]))
}

// listInstances puts the instance list on the platform: instances FILE ADMIN-ADDRESS.
func listInstances(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, "http://"+args[1]+"/admin/instances", ts.ReadFile(args[0]))
}

// put repeats an HTTP request until the stand-in, which may just be starting, takes it.
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

// awaitVersion waits until each process has a bundle in force and does its work: await SEQUENCE OPERATOR-ADDRESS...
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

// awaitFile waits until a file is there: awaitfile FILE.
func awaitFile(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, args[0], func() bool {
		_, err := os.Stat(ts.MkAbs(args[0]))
		return err == nil
	})
}

// sprayOver tells the fabric which balancers are left: spray STATUS-ADDRESS BALANCER...
func sprayOver(ts *testscript.TestScript, _ bool, args []string) {
	body, err := json.Marshal(args[1:])
	ts.Check(err)
	put(ts, "http://"+args[0]+"/balancers", string(body))
}

// terminate sends SIGTERM to the background process whose arguments include all of those given: term ARGUMENT...
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	for _, cmd := range ts.BackgroundCmds() {
		if containsAll(cmd.Args, args) {
			ts.Check(cmd.Process.Signal(syscall.SIGTERM))
			return
		}
	}
	ts.Fatalf("no process was started with %v", args)
}

func containsAll(have, want []string) bool {
	for _, w := range want {
		if !slices.Contains(have, w) {
			return false
		}
	}
	return true
}

// sleepFor lets the processes work: sleep DURATION.
func sleepFor(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	ts.Check(timer.New(timer.Config{}).Sleep(testContext(), d))
}

// auditRuns checks that no request ran twice: audit FILE... of what upstreams ran.
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
	ts.Logf("%d runs, %d doubled", a.Runs, a.DoubleRuns)
	if !a.Clean() || a.Runs == 0 {
		ts.Fatalf("%d runs, %d doubled", a.Runs, a.DoubleRuns)
	}
}

// poll repeats try until it is true.
func poll(ts *testscript.TestScript, what string, try func() bool) {
	clock := timer.New(timer.Config{})
	begin := clock.Now()
	for !try() {
		if clock.Since(begin) > awaitTimeout {
			ts.Fatalf("%s: still not so after %s", what, awaitTimeout)
		}
		ts.Check(clock.Sleep(testContext(), awaitEvery))
	}
}
