package standin

import (
	"errors"
	"net"
	"net/netip"
)

const (
	socketBufferSize = 4 << 20 // bytes
	readBufferSize   = 65535   // bytes
)

// listenUDP opens a socket with large buffers. The zero address selects a free port on 127.0.0.1.
func listenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	addr = orLoopback(addr)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, &ListenError{Address: addr, Cause: err}
	}
	// The kernel may limit the buffers. Packets lost for that reason are retransmitted.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	return conn, nil
}

// listenTCP opens a listener. The zero address selects a free port on 127.0.0.1.
func listenTCP(addr netip.AddrPort) (net.Listener, error) {
	addr = orLoopback(addr)
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, &ListenError{Address: addr, Cause: err}
	}
	return listener, nil
}

func orLoopback(addr netip.AddrPort) netip.AddrPort {
	if addr.IsValid() {
		return addr
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// receiveUDP calls handle for each datagram until the socket is closed. The datagram is only valid during the call.
func receiveUDP(conn *net.UDPConn, handle func(datagram []byte, from netip.AddrPort)) {
	b := make([]byte, readBufferSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		handle(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
