package compare

import (
	"cmp"
	"slices"
)

const goldenRatio64 = 0x9e3779b97f4a7c15

// mix returns the hash of a flow and an upstream, with the finalizer of SplitMix64.
func mix(hash, id uint64) uint64 {
	x := hash ^ id*goldenRatio64
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rank returns the candidates of a flow: the upstreams of the caller's place
// first, then those of the following places in turn. Within a place the order is
// by rendezvous hashing.
func rank(hash uint64, place, places int, all []*upstream) []*upstream {
	order := make([]*upstream, 0, len(all))
	for _, u := range all {
		if !u.leaving && !u.offline {
			order = append(order, u)
		}
	}
	slices.SortFunc(order, func(a, b *upstream) int {
		da := (a.place - place + places) % places
		db := (b.place - place + places) % places
		if da != db {
			return cmp.Compare(da, db)
		}
		return cmp.Compare(mix(hash, uint64(b.id)), mix(hash, uint64(a.id)))
	})
	return order
}
