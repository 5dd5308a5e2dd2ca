package edge

import (
	"sync/atomic"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

// maxPacket is the length in bytes that a packet of a caller or an upstream has at most.
const maxPacket = 1500

// counts are the totals of a process since it started.
type counts struct {
	forwarded atomic.Uint64
	delivered atomic.Uint64
	answered  atomic.Uint64
	refused   atomic.Uint64
	dropped   atomic.Uint64
	invalid   atomic.Uint64
}

// logFlow writes an event about the flow of a caller's packet.
func logFlow(log *event.Logger, n event.Number, p *steer.Packet, fields ...zap.Field) {
	if !log.Enabled(n) {
		return
	}
	all := []zap.Field{
		zap.Stringer("caller", p.Source),
		zap.Stringer("address", p.Destination),
		zap.Uint32("sequence", p.Sequence),
		zap.Uint8("flags", uint8(p.Flags)),
	}
	log.Emit(n, append(all, fields...)...)
}

// logReset writes an event about a flow that the upstream reset with packet p.
func logReset(log *event.Logger, p *steer.Packet) {
	log.Emit(event.UpstreamReset,
		zap.Stringer("caller", p.Destination),
		zap.Stringer("address", p.Source),
		zap.Uint32("sequence", p.Sequence))
}
