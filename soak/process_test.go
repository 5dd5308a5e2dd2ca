package soak_test

import (
	"bytes"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// buildProgram is the path of the command under test, built once.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "corianderbay")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/corianderbay").CombinedOutput()
	if err != nil {
		return "", &buildError{output: string(out)}
	}
	return path, nil
})

type buildError struct{ output string }

func (e *buildError) Error() string { return "cannot build the program: " + e.output }

// process is one process of the system. It is used by one goroutine at a time.
type process struct {
	host        standin.Host
	role        string
	bindAddress netip.AddrPort // what it binds for the other processes
	env         string         // the environment variable that names the settings file

	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
	log  *bytes.Buffer // of all its incarnations
}

func newProcess(h standin.Host, role string, bind netip.AddrPort, env string) *process {
	return &process{host: h, role: role, bindAddress: bind, env: env, log: new(bytes.Buffer)}
}

func (p *process) start() error {
	path, err := buildProgram()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(path, "platform", p.role, "--log-lines", "2000", "--bind-address", p.bindAddress.String())
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	wait := func() {
		_ = cmd.Wait() // the way it ends does not matter here
		close(done)
	}
	childProcesses.Go(wait)
	return nil
}

// signal sends a signal to the process that start started, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// stop ends the process by SIGTERM, and by SIGKILL when it takes longer than the users allow.
func (p *process) stop() {
	const gracePeriod = 6 * time.Second
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(gracePeriod):
		p.kill()
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}
