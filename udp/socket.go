// Package udp receives and sends datagrams by IP address. Several goroutines
// receive from one socket, and datagrams that waited in the socket while the
// process was paused are dropped.
//
// Start with Open and Socket.Run.
package udp

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

const (
	defaultWorkers    = 2
	defaultBufferSize = 4 << 20 // bytes
	maxDatagramSize   = 65535   // bytes
	headerBytes       = 28      // UDP and IPv4 headers of a datagram
)

// Config holds the settings of a Socket. Listen and PauseDetector are required.
type Config struct {
	// Listen is the address to bind; port 0 selects a free port.
	Listen netip.AddrPort
	// Workers is the number of receiving goroutines. Zero selects 2.
	Workers int
	// BufferSize is the size of the receive buffer and of the send buffer in bytes.
	// Zero selects 4 MiB; the system may cap it.
	BufferSize int
	// PauseDetector detects pauses of the process.
	PauseDetector *timer.PauseDetector
}

// Handler handles one datagram. b is valid only until it returns.
type Handler func(b []byte, from netip.AddrPort)

// Counts holds the totals of a Socket since it was opened.
type Counts struct {
	Received uint64 `json:"received"`
	Sent     uint64 `json:"sent"`
	// Stale counts datagrams dropped because they may have waited through a pause.
	Stale uint64 `json:"stale"`
	// Unsent counts datagrams that the system did not accept for sending.
	Unsent uint64 `json:"unsent"`
	// ReceivedBytes and SentBytes count the bytes of datagrams with their UDP and IPv4 headers.
	ReceivedBytes uint64 `json:"receivedbytes"`
	SentBytes     uint64 `json:"sentbytes"`
}

// Socket is a bound UDP socket. It is safe for concurrent use.
type Socket struct {
	cfg  Config
	conn *net.UDPConn

	received atomic.Uint64
	sent     atomic.Uint64
	stale    atomic.Uint64
	unsent   atomic.Uint64

	receivedBytes atomic.Uint64
	sentBytes     atomic.Uint64
}

// Open binds a Socket. It returns a *ListenError if the address cannot be bound.
func Open(cfg Config) (*Socket, error) {
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	if cfg.BufferSize == 0 {
		cfg.BufferSize = defaultBufferSize
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, &ListenError{Address: cfg.Listen, Cause: err}
	}
	// Errors are ignored: with smaller buffers the socket works, but absorbs smaller bursts.
	_ = conn.SetReadBuffer(cfg.BufferSize)
	_ = conn.SetWriteBuffer(cfg.BufferSize)
	return &Socket{cfg: cfg, conn: conn}, nil
}

// Address returns the address to which the socket is bound.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns the current totals.
func (s *Socket) Counts() Counts {
	return Counts{
		Received: s.received.Load(),
		Sent:     s.sent.Load(),
		Stale:    s.stale.Load(),
		Unsent:   s.unsent.Load(),

		ReceivedBytes: s.receivedBytes.Load(),
		SentBytes:     s.sentBytes.Load(),
	}
}

// Send sends one datagram. A datagram that the system does not accept is counted
// in Counts.Unsent and lost, as it may be on any network.
func (s *Socket) Send(b []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.unsent.Add(1)
		return
	}
	s.sent.Add(1)
	s.sentBytes.Add(uint64(len(b) + headerBytes))
}

// Run receives until ctx is done and then closes the socket. Each worker has its
// own handler from newHandler, so a handler is never called concurrently.
func (s *Socket) Run(ctx context.Context, newHandler func() Handler) {
	var wg conc.WaitGroup
	for range s.cfg.Workers {
		h := newHandler()
		wg.Go(func() { s.receive(ctx, h) })
	}
	<-ctx.Done()
	s.conn.Close()
	wg.Wait()
}

// Close closes a socket for which Run is not called.
func (s *Socket) Close() {
	s.conn.Close()
}

func (s *Socket) receive(ctx context.Context, h Handler) {
	buf := make([]byte, maxDatagramSize)
	epoch := s.cfg.PauseDetector.Epoch()
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error about an earlier datagram
		}
		s.received.Add(1)
		s.receivedBytes.Add(uint64(n + headerBytes))
		if current := s.cfg.PauseDetector.Epoch(); current != epoch {
			epoch = current
			s.stale.Add(1)
			s.discardBacklog()
			continue
		}
		h(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// discardBacklog drops the datagrams that wait in the socket.
func (s *Socket) discardBacklog() {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return
	}
	var scratch [1]byte
	// Returning true keeps Read from waiting until the socket is readable again.
	_ = raw.Read(func(fd uintptr) bool {
		for {
			if _, _, err := unix.Recvfrom(int(fd), scratch[:], unix.MSG_DONTWAIT); err != nil {
				return true
			}
			s.stale.Add(1)
		}
	})
}
