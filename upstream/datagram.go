package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/flow"
	"github.com/sourcegraph/conc"
)

const (
	defaultMaxFlows       = 10_000
	datagramIdleTimeout   = 5 * time.Minute
	datagramSweepInterval = 10 * time.Second
	maxPayload            = 65507 // bytes; maximum payload of UDP over IPv4
)

// Datagram exchanges payloads with an ordinary UDP server over one connected socket
// per flow. It is safe for concurrent use.
type Datagram struct {
	cfg Config
	wg  conc.WaitGroup // readers of the sockets

	drops drops

	mu     sync.Mutex
	flows  map[flow.Key]*datagramFlow // at most cfg.MaxFlows
	closed bool                       // set by run when it ends; no socket is opened after that
}

// datagramFlow is the socket of one flow.
type datagramFlow struct {
	conn *net.UDPConn
	last time.Time // when a packet was last delivered; guarded by Datagram.mu
}

func newDatagram(cfg Config) *Datagram {
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = defaultMaxFlows
	}
	return &Datagram{cfg: cfg, flows: make(map[flow.Key]*datagramFlow)}
}

func (d *Datagram) transport() {}

func (d *Datagram) deliver(p Packet) error {
	if p.Key.Protocol() != flow.UDP {
		return &ProtocolError{Protocol: p.Key.Protocol()}
	}
	f, err := d.flow(p.Key)
	if err != nil {
		return err
	}
	if _, err := f.conn.Write(p.Payload); err != nil {
		return &SendError{Cause: err}
	}
	return nil
}

// flow returns the socket of a flow, and opens one if the flow is new.
func (d *Datagram) flow(k flow.Key) (*datagramFlow, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Timer.Now()
	if f, ok := d.flows[k]; ok {
		f.last = now
		return f, nil
	}
	if d.closed || len(d.flows) >= d.cfg.MaxFlows {
		return nil, &FlowLimitError{Max: d.cfg.MaxFlows}
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.cfg.Address))
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	f := &datagramFlow{conn: conn, last: now}
	d.flows[k] = f
	d.wg.Go(func() { d.receive(k, conn) })
	return f, nil
}

// receive passes the answers of one flow to Config.Answer until the socket is closed.
func (d *Datagram) receive(k flow.Key, conn *net.UDPConn) {
	buf := make([]byte, maxPayload)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			if d.isOpen(k, conn) {
				continue // an ICMP error for an earlier datagram
			}
			return
		}
		ip, err := fabric.DatagramAnswer(k, buf[:n])
		if err != nil {
			d.drops.malformed.Add(1)
			continue
		}
		d.cfg.Answer(ip)
	}
}

func (d *Datagram) isOpen(k flow.Key, conn *net.UDPConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.flows[k]
	return ok && f.conn == conn
}

func (d *Datagram) run(ctx context.Context) {
	sub := d.cfg.Timer.Every(datagramSweepInterval)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			d.close()
			d.wg.Wait()
			return
		case <-sub.C:
			d.closeIdle()
		}
	}
}

// closeIdle closes the sockets of flows to which no packet was delivered for
// datagramIdleTimeout. Answers do not extend the time.
func (d *Datagram) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Timer.Now()
	for k, f := range d.flows {
		if now.Sub(f.last) >= datagramIdleTimeout {
			delete(d.flows, k)
			f.conn.Close()
		}
	}
}

func (d *Datagram) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for k, f := range d.flows {
		delete(d.flows, k)
		f.conn.Close()
	}
}
