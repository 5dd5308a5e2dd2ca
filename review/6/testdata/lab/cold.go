package lab

import (
	"time"

	"github.com/corianderbay/corianderbay/steer"
)

// MostWhileCold returns the largest number of flows that a backend took within one second
// while it was cold, of those that were sent and arrived inside that second, and when the
// last of them arrived.
func (b *Backend) MostWhileCold(clients ...*Client) (most int, at time.Duration) {
	list := b.Openings()
	for i := range list {
		if !list[i].Cold {
			continue
		}
		from, n := list[i].At-time.Second, 0
		for k := i; k >= 0 && list[k].At > from; k-- {
			if list[k].Cold && sentAfter(clients, list[k].Key, from) {
				n++
			}
		}
		if n > most {
			most, at = n, list[i].At
		}
	}
	return most, at
}

// sentAfter reports whether any of the clients sent the opening of a flow after a time.
func sentAfter(clients []*Client, k steer.Key, from time.Duration) bool {
	for _, c := range clients {
		if sent, known := c.SentAt(k); known && sent > from {
			return true
		}
	}
	return false
}
