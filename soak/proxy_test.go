package soak_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// linkMode is the fault that a proxy injects into its connections.
type linkMode int

const (
	linkNormal      linkMode = iota
	linkDelay                // data is delayed by proxyDelay
	linkReset                // open and new connections are reset
	linkDropAnswers          // requests are forwarded, answers are dropped
	linkDropAll              // data in both directions is dropped silently
)

// proxyDelay is the delay of each chunk of data in mode linkDelay.
const proxyDelay = 300 * time.Millisecond

// proxy is a TCP proxy between one process and the store, or between the other
// processes and one process. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort
	wg       conc.WaitGroup

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

func newProxy(at, to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.run)
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// setMode changes the mode, also of open connections.
func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != linkReset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == linkReset {
			reset(c)
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

// serve copies data in both directions until either side closes, and then closes both.
func (p *proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp4", p.to.String())
	if err != nil {
		reset(c)
		return
	}
	p.track(c, up)
	var wg conc.WaitGroup
	wg.Go(func() {
		p.copyStream(up, c, linkDropAll)
		up.Close()
	})
	wg.Go(func() {
		p.copyStream(c, up, linkDropAll, linkDropAnswers)
		c.Close()
	})
	wg.Wait()
	p.untrack(c, up)
}

// copyStream copies data, and discards it while the mode is one of dropModes.
func (p *proxy) copyStream(w io.Writer, r io.Reader, dropModes ...linkMode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		mode := p.currentMode()
		if mode == linkDelay {
			time.Sleep(proxyDelay)
		}
		drop := false
		for _, d := range dropModes {
			drop = drop || mode == d
		}
		if drop {
			continue
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset instead of a FIN
	}
	c.Close()
}
