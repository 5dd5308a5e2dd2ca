package main

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// process is a balancer or a sidecar.
type process struct {
	name string
	log  *os.File
	cmd  *exec.Cmd
}

// fleet holds the processes of the system.
type fleet struct {
	dir       string
	store     netip.AddrPort
	processes []*process
}

// add writes the settings of a process and starts it.
func (f *fleet) add(h standin.Host, seeds []standin.Host, args ...string) (*process, error) {
	env, err := h.WriteSettings(f.dir, f.store, seeds)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, h.Name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: h.Name, log: log, cmd: exec.Command("target/corianderbay", args...)}
	p.cmd.Env = append(os.Environ(), env)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	return p, nil
}

// kill ends all processes.
func (f *fleet) kill() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.log.Close()
	}
}
