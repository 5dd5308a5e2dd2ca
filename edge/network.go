package edge

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/exchange"
	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
)

// packetBuffer is the size of the packet socket's receive and send buffers in bytes.
const packetBuffer = 2 << 20

// PacketSocket sends and receives packets of callers or of the upstream.
type PacketSocket interface {
	exchange.Socket
	// Close closes a socket for which Run is not called.
	Close()
}

// Network provides the sockets of a process. Tests in virtual time replace it.
type Network interface {
	exchange.Network
	// OpenPackets binds the address for packets. It returns *udp.ListenError.
	OpenPackets(listen netip.AddrPort, d *timer.PauseDetector) (PacketSocket, error)
}

// hostNetwork is the network of the host.
type hostNetwork struct{ exchange.HostNetwork }

func (hostNetwork) OpenPackets(listen netip.AddrPort, d *timer.PauseDetector) (PacketSocket, error) {
	s, err := udp.Open(udp.Config{Listen: listen, Workers: 1, BufferSize: packetBuffer, PauseDetector: d})
	if err != nil {
		return nil, err
	}
	return s, nil
}
