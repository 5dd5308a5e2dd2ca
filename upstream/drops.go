package upstream

import "sync/atomic"

// Drops are the totals of what an edge received and did not hand on.
type Drops struct {
	// UnknownSource counts datagrams that did not come from the upstream.
	UnknownSource uint64 `json:"stranger"`
	// Malformed counts answers that are no packets for a caller.
	Malformed uint64 `json:"malformed"`
}

// drops are the running totals of an edge.
type drops struct {
	unknownSource atomic.Uint64
	malformed     atomic.Uint64
}

func (d *drops) totals() Drops {
	return Drops{UnknownSource: d.unknownSource.Load(), Malformed: d.malformed.Load()}
}

// DropsOf returns what an edge has dropped so far.
func DropsOf(t Transport) Drops {
	switch t := t.(type) {
	case *Tunnel:
		return t.drops.totals()
	case *Datagram:
		return t.drops.totals()
	}
	return Drops{}
}
