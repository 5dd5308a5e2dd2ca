package soak_test

import (
	"bytes"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// buildProgram builds the program under test once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) { return build() })

// buildOther returns the path of the other build that processes may be restarted with: the
// program of flag soak.other, or the present code with a build tag that makes it speak
// version 1 of the messages.
var buildOther = sync.OnceValues(func() (string, error) {
	if *otherProgram != "" {
		return *otherProgram, nil
	}
	return build("-tags", "formatone")
})

// build builds the program with the given arguments and returns its path.
func build(args ...string) (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "corianderbay")
	args = append([]string{"build", "-o", path}, args...)
	out, err := exec.Command("go", append(args, "../cmd/corianderbay")...).CombinedOutput()
	if err != nil {
		return "", &buildError{output: string(out)}
	}
	return path, nil
}

type buildError struct{ output string }

func (e *buildError) Error() string { return "soak: cannot build the program: " + e.output }

// process is a balancer or sidecar process. It is not safe for concurrent use.
type process struct {
	host        standin.Host
	role        string
	bindAddress netip.AddrPort // the listen address for other processes
	env         string         // the environment variable with the path of the settings file

	program func() (string, error) // returns the path of the build to start
	cmd     *exec.Cmd
	done    chan struct{} // closed when cmd has exited
	log     *bytes.Buffer // the output of all incarnations
	// incarnation is the last start.
	incarnation atomic.Pointer[incarnation]
}

// incarnation is one start of a process.
type incarnation struct {
	number int
	since  time.Time
}

func newProcess(h standin.Host, role string, bind netip.AddrPort, env string) *process {
	return &process{host: h, role: role, bindAddress: bind, env: env, program: buildProgram, log: new(bytes.Buffer)}
}

func (p *process) start() error {
	path, err := p.program()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(path, "platform", p.role, "--log-lines", "2000", "--bind-address", p.bindAddress.String())
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	next := &incarnation{since: time.Now()}
	if last := p.incarnation.Load(); last != nil {
		next.number = last.number + 1
	}
	p.incarnation.Store(next)
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	wait := func() {
		_ = cmd.Wait() // the exit status is irrelevant: processes are also killed
		close(done)
	}
	childProcesses.Go(wait)
	return nil
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// stop terminates the process with SIGTERM, and with SIGKILL after the grace
// period that deployments allow.
func (p *process) stop() {
	const gracePeriod = 6 * time.Second
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(gracePeriod):
		p.kill()
	}
}

// kill terminates the process with SIGKILL. It first resumes a paused process.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}
