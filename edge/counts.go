package edge

import (
	"sync/atomic"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/steer"
	"go.uber.org/zap"
)

// maxPacket is the maximum length in bytes of a packet of a caller or an upstream.
const maxPacket = 1500

// counts holds the counters of a process since it started.
type counts struct {
	forwarded atomic.Uint64
	delivered atomic.Uint64
	answered  atomic.Uint64
	refused   reasonCounts
	dropped   reasonCounts
	invalid   atomic.Uint64
	// olderOpenings and newerOpenings count the openings that balancers with older or newer
	// routes than this process placed.
	olderOpenings atomic.Uint64
	newerOpenings atomic.Uint64
}

// logReset logs that the upstream reset a flow with packet p.
func logReset(log *event.Logger, p *steer.Packet) {
	log.Emit(event.UpstreamReset,
		zap.Stringer("caller", p.Destination),
		zap.Stringer("address", p.Source),
		zap.Uint32("sequence", p.Sequence))
}

// omittedReporter logs how many log lines were omitted. It is not safe for concurrent use.
type omittedReporter struct {
	reported uint64
}

// report logs the number of lines omitted since the last call, if there are any.
func (o *omittedReporter) report(log *event.Logger) {
	n := log.Omitted()
	if n == o.reported {
		return
	}
	log.Emit(event.LinesOmitted, zap.Uint64("lines", n-o.reported))
	o.reported = n
}
