package load

import (
	"fmt"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/vmihailenco/msgpack/v5"
)

// Report is the load report that a sidecar sends to the other sidecars of its
// service. Decoding a report validates it with Check.
type Report struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are encoded without names
	_msgpack struct{} `msgpack:",as_array"`

	Service  bundle.ServiceID  `msgpack:"service"`
	Upstream bundle.UpstreamID `msgpack:"upstream"`
	// Sequence increases with each report of one upstream, also across restarts.
	Sequence uint64 `msgpack:"sequence"`
	// Slots is from 1 to 100,000.
	Slots uint32 `msgpack:"slots"`
	// Busy is the number of requests in slots and in the queue.
	Busy uint32 `msgpack:"busy"`
	// Connections is the number of flows, at most 10,000,000.
	Connections uint32 `msgpack:"connections"`
	// Rate is the recent rate of accepted flows, in flows per second.
	Rate uint32 `msgpack:"rate"`
	// Limit is the maximum number of flows, from 1 to 10,000,000.
	Limit uint32 `msgpack:"limit"`
	// Weight is from 1 to 1000.
	Weight uint32 `msgpack:"weight"`
	// ServiceMicros is the mean service time in microseconds; zero means unknown.
	ServiceMicros uint32 `msgpack:"micros"`
	// Ramp is the cold-start share in thousandths, from 1 to 1000.
	Ramp uint32 `msgpack:"ramp"`
	// Failing is true while the upstream refuses requests or times out.
	Failing bool `msgpack:"failing"`
	// Leaving is true when the upstream accepts no new flows.
	Leaving bool `msgpack:"leaving"`
}

const (
	maxSlots       = 100_000
	maxConnections = 10_000_000
	maxWeight      = 1000
)

// NewReport returns the report of upstream u of service s for the view v.
func NewReport(s bundle.ServiceID, u bundle.UpstreamID, sequence uint64, v View) Report {
	return Report{
		Service:       s,
		Upstream:      u,
		Sequence:      sequence,
		Slots:         uint32(v.Slots),
		Busy:          uint32(v.Busy()),
		Connections:   uint32(v.Connections),
		Rate:          uint32(v.Rate),
		Limit:         uint32(v.Limit),
		Weight:        uint32(v.Weight),
		ServiceMicros: uint32(v.ServiceTime / time.Microsecond),
		Ramp:          uint32(max(v.Ramp*perMille, 1)),
		Failing:       v.Failing,
		Leaving:       v.Leaving,
	}
}

// Check returns a *ReportError when a field is out of range.
func (r Report) Check() error {
	switch {
	case r.Slots < 1 || r.Slots > maxSlots:
		return &ReportError{Field: "slots", Value: r.Slots}
	case r.Connections > maxConnections:
		return &ReportError{Field: "connections", Value: r.Connections}
	case r.Limit < 1 || r.Limit > maxConnections:
		return &ReportError{Field: "limit", Value: r.Limit}
	case r.Weight < 1 || r.Weight > maxWeight:
		return &ReportError{Field: "weight", Value: r.Weight}
	case r.Ramp < 1 || r.Ramp > perMille:
		return &ReportError{Field: "ramp", Value: r.Ramp}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Report) DecodeMsgpack(d *msgpack.Decoder) error {
	type plain Report
	var p plain
	if err := d.Decode(&p); err != nil {
		return err
	}
	if err := Report(p).Check(); err != nil {
		return err
	}
	*r = Report(p)
	return nil
}

// View returns the view from which the report was made. Fields that a report
// does not carry are zero.
func (r Report) View() View {
	return View{
		Slots:       int(r.Slots),
		InUse:       int(min(r.Busy, r.Slots)),
		Queue:       int(r.Busy - min(r.Busy, r.Slots)),
		Connections: int(r.Connections),
		Rate:        float64(r.Rate),
		Limit:       int(r.Limit),
		Weight:      int(r.Weight),
		ServiceTime: time.Duration(r.ServiceMicros) * time.Microsecond,
		Ramp:        float64(r.Ramp) / perMille,
		Failing:     r.Failing,
		Leaving:     r.Leaving,
	}
}

// ReportError reports a field of a load report that is out of range.
type ReportError struct {
	Field string
	Value uint32
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("load report: %s is out of range: %d", e.Field, e.Value)
}
