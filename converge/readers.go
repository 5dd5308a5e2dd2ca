package converge

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawEpoch is how often processes draw who reads in place of readers that are silent.
const drawEpoch = 2 * time.Second

// readers decides whether the process reads the platform.
//
// The processes of a data centre with the highest rendezvous scores always
// read. When no answer from the platform is known that is younger than the
// reader timeout, the others draw: each epoch about Config.Readers of those
// that reach each other start to read. One that succeeds goes on until it
// hears of a fresh answer that a process with a higher score got.
type readers struct {
	regular    bool      // true when the scores make this process a reader
	substitute bool      // true while it reads in place of silent readers
	reading    bool      // what the edge was last told
	drawnEpoch int64     // the last epoch drawn
	answeredAt time.Time // when the origin got its last known answer
	origin     string    // the highest reader whose answer is fresh; empty is none
}

// score ranks a process among the readers; the highest scores read.
func score(name string) uint64 {
	return xxhash.Sum64String("reader/" + name)
}

// outranks reports whether a scores above b. Equal scores fall to the lower name.
func outranks(a, b string) bool {
	x, y := score(a), score(b)
	if x != y {
		return x > y
	}
	return a < b
}

// updateRank sets whether the process is a regular reader among peers.
func (r *readers) updateRank(cfg Config, peers []Peer) {
	above := 0
	for _, p := range peers {
		if p.DataCentre != cfg.DataCentre || p.Leaving || p.Name == cfg.Name {
			continue
		}
		if outranks(p.Name, cfg.Name) {
			above++
		}
	}
	r.regular = above < cfg.Readers
}

// recordAnswer takes in that origin got an answer at the time at. An origin with a
// lower score is taken only when the present one has grown old.
func (r *readers) recordAnswer(now time.Time, cfg Config, origin string, answeredAt time.Time) {
	limit := cfg.ReaderTimeout / 2
	switch {
	case origin == "" || !answeredAt.After(r.answeredAt) && now.Sub(answeredAt) > limit:
		return
	case origin == r.origin && !answeredAt.After(r.answeredAt):
		return
	case origin == r.origin || r.origin == "" || now.Sub(r.answeredAt) > limit:
	case !outranks(origin, r.origin):
		return
	}
	r.answeredAt, r.origin = answeredAt, origin
}

// update returns whether the process reads from now on. reach is the number of
// processes that it can reach, itself included.
func (r *readers) update(now time.Time, cfg Config, reachable int) bool {
	age := now.Sub(r.answeredAt)
	switch {
	case r.regular:
		r.substitute = false
	case age > cfg.ReaderTimeout:
		r.draw(now, cfg, reachable)
	case r.origin != cfg.Name && outranks(r.origin, cfg.Name):
		r.substitute = false
	}
	return r.regular || r.substitute
}

func (r *readers) draw(now time.Time, cfg Config, reachable int) {
	epoch := now.UnixNano() / int64(drawEpoch)
	if epoch == r.drawnEpoch {
		return
	}
	r.drawnEpoch = epoch
	h := xxhash.Sum64String(cfg.Name + "/" + strconv.FormatInt(epoch, 10))
	r.substitute = h%uint64(reachable) < uint64(cfg.Readers)
}
