package main

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
)

// gracePeriod is grace_s of the settings.
const gracePeriod = 6 * time.Second

// process is a balancer or a sidecar.
type process struct {
	name string
	args []string
	env  string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
}

func (p *process) start() error {
	cmd, done := exec.Command("target/corianderbay", p.args...), make(chan struct{})
	cmd.Env = append(os.Environ(), p.env)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(gracePeriod):
		p.kill()
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// fleet holds the processes of the system.
type fleet struct {
	dir       string
	store     netip.AddrPort
	processes []*process
}

// add writes the settings of a process and starts it.
func (f *fleet) add(h standin.Host, seeds []standin.Host, args ...string) error {
	env, err := h.WriteSettings(f.dir, f.store, seeds)
	if err != nil {
		return err
	}
	_, path, _ := strings.Cut(env, "=")
	if err := addBounds(path); err != nil {
		return err
	}
	log, err := os.Create(logPath(f.dir, h.Name))
	if err != nil {
		return err
	}
	p := &process{name: h.Name, args: args, env: env, log: log}
	if err := p.start(); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}

// restartSidecar stops and starts the first sidecar, as one step of a rolling restart does.
func (f *fleet) restartSidecar(rec *record) error {
	p := f.processes[balancerCount]
	rec.note("SIGTERM to %s", p.name)
	p.stop()
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		return err
	}
	rec.note("%s started", p.name)
	return nil
}

// kill ends all processes.
func (f *fleet) kill() {
	for _, p := range f.processes {
		p.kill()
		p.log.Close()
	}
}

// addBounds adds the bounds of cold upstreams to a settings file.
func addBounds(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		return err
	}
	bounds, _ := settings["bounds"].(map[string]any)
	bounds["warmup_overshoot"], bounds["warmup_slack"] = overshoot, slack
	if raw, err = json.Marshal(settings); err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}
