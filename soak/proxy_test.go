package soak_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// link is how a proxy treats connections.
type link int

const (
	linkPass   link = iota
	linkDelay       // each answer comes late
	linkReset       // connections are reset, old and new ones
	linkOneWay      // questions arrive, answers do not
	linkSilent      // nothing arrives, and nobody is told
)

// proxyDelay is how late answers are on a delayed link.
const proxyDelay = 300 * time.Millisecond

// proxy stands before the store for one process, or before one process for the others. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort
	wg       conc.WaitGroup

	mu    sync.Mutex
	mode  link
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

// set changes how connections are treated, those that are open included.
func (p *proxy) set(mode link) {
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

func (p *proxy) present() link {
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
		if p.present() == linkReset {
			reset(c)
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

// serve copies between the two sides until either side ends.
func (p *proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp4", p.to.String())
	if err != nil {
		reset(c)
		return
	}
	p.track(c, up)
	var wg conc.WaitGroup
	wg.Go(func() {
		p.copy(up, c, linkSilent)
		up.Close()
	})
	wg.Go(func() {
		p.copy(c, up, linkSilent, linkOneWay)
		c.Close()
	})
	wg.Wait()
	p.forget(c, up)
}

// copy moves bytes, and swallows them while the link is in one of the deaf modes.
func (p *proxy) copy(w io.Writer, r io.Reader, deaf ...link) {
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		mode := p.present()
		if mode == linkDelay {
			time.Sleep(proxyDelay)
		}
		lost := false
		for _, d := range deaf {
			lost = lost || mode == d
		}
		if lost {
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

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection ends in the ordinary way
	}
	c.Close()
}
