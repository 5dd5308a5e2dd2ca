package lab

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// RestartDelay is how long after its end a process is started again.
const RestartDelay = 300 * time.Millisecond

// Process is a program of the system on one machine.
type Process struct {
	Name string
	Host standin.Host
	// Store is the way of the process to the store.
	Store *StorePath

	lab  *Lab
	root string
	file string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(p.root, p.args[0]), p.args[1:]...)
	cmd.Dir = p.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERBAY_BOOT=" + p.file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stdout, cmd.Stderr = discard, discard
	if os.Getenv("REVIEW_KEEP") != "" {
		f, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		p.log, cmd.Stdout, cmd.Stderr = f, f, f
	}
	if err := p.lab.startCommand(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		p.lab.Record("process %s ended: %v", p.Name, err)
		close(done)
	}()
	p.cmd, p.done = cmd, done
	p.lab.Record("process %s started", p.Name)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.lab.Record("process %s gets %v", p.Name, s)
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// Restart sends a signal that ends the process, and starts it again RestartDelay after its end.
func (p *Process) Restart(s syscall.Signal) error {
	p.Signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(8 * time.Second):
		return fmt.Errorf("process %s did not end", p.Name)
	}
	time.Sleep(RestartDelay)
	return p.Start()
}

// end kills the process and waits for its end.
func (p *Process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
	if p.log != nil {
		p.log.Close()
	}
}

// startRequest asks for the start of a command.
type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// startCommand starts a command from the one thread that lives as long as the lab: the kernel
// ends a process when the thread that started it does.
func (l *Lab) startCommand(cmd *exec.Cmd) error {
	l.startOnce.Do(func() {
		l.starts = make(chan startRequest)
		go func() {
			runtime.LockOSThread()
			for r := range l.starts {
				r.result <- r.cmd.Start()
			}
		}()
	})
	r := startRequest{cmd: cmd, result: make(chan error, 1)}
	l.starts <- r
	return <-r.result
}
