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
	stranger  atomic.Uint64
	malformed atomic.Uint64
}

func (d *drops) totals() Drops {
	return Drops{UnknownSource: d.stranger.Load(), Malformed: d.malformed.Load()}
}

// DropsOf returns what an edge has dropped so far.
func DropsOf(e Transport) Drops {
	switch e := e.(type) {
	case *Tunnel:
		return e.drops.totals()
	case *Datagram:
		return e.drops.totals()
	}
	return Drops{}
}
