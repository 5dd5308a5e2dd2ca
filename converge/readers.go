package converge

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawInterval is the length of an epoch, in which the substitutes for silent
// readers are selected once.
const drawInterval = 2 * time.Second

// readers decides whether the process reads the platform.
//
// The processes of a data centre with the highest rendezvous scores always
// read. If the most recent known answer from the platform is older than the
// reader timeout, substitutes are selected among the other processes: in each
// epoch about Config.Readers of those that reach each other start to read. A
// substitute that succeeds continues until a process with a higher score has
// received a fresh answer.
type readers struct {
	regular    bool      // true if the score of this process makes it a reader
	substitute bool      // true while it reads in place of silent readers
	reading    bool      // last value of ReadPlatform.On
	drawnEpoch int64     // last epoch drawn
	answeredAt time.Time // when origin received its last known answer
	origin     string    // highest-ranked process with a fresh answer; empty if none
}

// score returns the rendezvous score of a process; the processes with the highest scores read.
func score(name string) uint64 {
	return xxhash.Sum64String("reader/" + name)
}

// outranks reports whether a ranks above b. Of equal scores the lower name ranks above.
func outranks(a, b string) bool {
	x, y := score(a), score(b)
	if x != y {
		return x > y
	}
	return a < b
}

// updateRank determines whether the process is a regular reader among peers.
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

// recordAnswer records that origin received an answer from the platform at
// answeredAt. An origin of lower rank replaces the current one only if the answer
// of the current one is older than half the reader timeout.
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

// update returns whether the process shall read the platform. reachable is the
// number of processes that it can reach, including itself.
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

// draw decides, once per epoch, whether the process is a substitute. The hash of
// its name and the epoch selects about Config.Readers of the reachable processes.
func (r *readers) draw(now time.Time, cfg Config, reachable int) {
	epoch := now.UnixNano() / int64(drawInterval)
	if epoch == r.drawnEpoch {
		return
	}
	r.drawnEpoch = epoch
	h := xxhash.Sum64String(cfg.Name + "/" + strconv.FormatInt(epoch, 10))
	r.substitute = h%uint64(reachable) < uint64(cfg.Readers)
}
