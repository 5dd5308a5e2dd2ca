package upstream

import (
	"context"
	"net/netip"
	"sync"

	"github.com/corianderbay/corianderbay/fabric"
	"github.com/corianderbay/corianderbay/udp"
)

const tunnelBuffer = 2048 // bytes that a packet in Geneve takes as a rule

// Tunnel carries whole IP packets to the upstream's own Geneve endpoint. It is safe for concurrent use.
type Tunnel struct {
	cfg     Config
	socket  *udp.Socket
	scratch sync.Pool // holds *[]byte
	drops   drops
}

func openTunnel(cfg Config) (*Tunnel, error) {
	socket, err := udp.Open(udp.Config{Listen: cfg.Listen, PauseDetector: cfg.PauseDetector})
	if err != nil {
		return nil, err
	}
	t := &Tunnel{cfg: cfg, socket: socket}
	t.scratch.New = func() any {
		b := make([]byte, 0, tunnelBuffer)
		return &b
	}
	return t, nil
}

func (t *Tunnel) edge() {}

func (t *Tunnel) deliver(p Packet) error {
	buf := t.scratch.Get().(*[]byte)
	defer t.scratch.Put(buf)
	b, err := fabric.Append((*buf)[:0], 0, p.IP, nil)
	if err != nil {
		return err
	}
	*buf = b
	t.socket.Send(b, t.cfg.Address)
	return nil
}

func (t *Tunnel) run(ctx context.Context) {
	t.socket.Run(ctx, t.newHandler)
}

func (t *Tunnel) newHandler() udp.Handler {
	dec := fabric.NewDecoder(fabric.DecoderConfig{})
	return func(b []byte, from netip.AddrPort) {
		if from != t.cfg.Address {
			t.drops.stranger.Add(1)
			return
		}
		f, err := dec.DecodeAnswerFrame(b)
		if err != nil {
			t.drops.malformed.Add(1)
			return
		}
		t.cfg.Answer(f.IP)
	}
}
