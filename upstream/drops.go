package upstream

import "sync/atomic"

// Drops holds the numbers of datagrams that a transport received and discarded.
type Drops struct {
	// UnknownSource counts datagrams that did not come from the upstream.
	UnknownSource uint64 `json:"stranger"`
	// Malformed counts answers that are not valid packets for a caller.
	Malformed uint64 `json:"malformed"`
}

// drops holds the counters of a transport.
type drops struct {
	unknownSource atomic.Uint64
	malformed     atomic.Uint64
}

func (d *drops) totals() Drops {
	return Drops{UnknownSource: d.unknownSource.Load(), Malformed: d.malformed.Load()}
}

// DropsOf returns the totals of a transport since it was opened.
func DropsOf(t Transport) Drops {
	switch t := t.(type) {
	case *Tunnel:
		return t.drops.totals()
	case *Datagram:
		return t.drops.totals()
	}
	return Drops{}
}
