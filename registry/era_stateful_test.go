package registry_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/registry"
	"pgregory.net/rapid"
)

// longestStep is how much time passes at most between two looks at what processes show.
const longestStep = 4 * time.Second

// forgottenAfter is how long after it was first shown as removed an upstream may be forgotten.
const forgottenAfter = time.Minute - registry.MissingGrace - longestStep

// copyAge is how old a copy may be when the store comes back from it.
const copyAge = 30 * time.Second

// unusedFor is for how long after an era began at a process what had left before stays unused.
const unusedFor = 10 * time.Second

// actor is an upstream that registers itself. It writes again what the store lost,
// after a delay of its own.
type actor struct {
	now  registry.Upstream // what it says of itself
	gone bool
}

// incarnation names one life of an upstream.
type incarnation struct {
	key  string
	born int64
}

// eraStore is a store that comes back from copies of itself.
type eraStore struct {
	era      registry.Era
	revision uint64
	items    map[string]registry.Change
	history  []registry.Change // those of the present timeline, in order
	version  uint64
	made     time.Duration // when this copy was made
}

func (s eraStore) copy() eraStore {
	c := s
	c.items, c.history = maps.Clone(s.items), slices.Clone(s.history)
	return c
}

func (s *eraStore) write(key string, u *registry.Upstream) {
	s.revision++
	c := registry.Change{Key: key, Revision: s.revision}
	delete(s.items, key)
	if u != nil {
		said := *u
		c.Upstream = &said
		s.items[key] = c
	}
	s.history = append(s.history, c)
}

func (s *eraStore) state() registry.State {
	return registry.State{Era: s.era, Revision: s.revision}
}

func (s *eraStore) routes() *registry.Routes {
	if s.version == 0 {
		return nil
	}
	return &registry.Routes{Version: s.version}
}

func (s *eraStore) read() registry.Update {
	return registry.Update{State: s.state(), Whole: true, Routes: s.routes(), Changes: slices.Collect(maps.Values(s.items))}
}

// watch answers like the store: it does not know of which era the revision is. ok is false for a 410.
func (s *eraStore) watch(after registry.State) (u registry.Update, ok bool) {
	if after.Revision > s.revision {
		return registry.Update{}, false
	}
	u = registry.Update{From: after, State: s.state(), Routes: s.routes()}
	for _, c := range s.history {
		if c.Revision > after.Revision {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, true
}

// tell puts changes into words.
func tell(changes []registry.Change) (words []string) {
	for _, c := range changes {
		if c.Upstream == nil {
			words = append(words, fmt.Sprintf("%s gone at %d", c.Key, c.Revision))
			continue
		}
		words = append(words, fmt.Sprintf("%s born %d said %d draining %v at %d", c.Key, c.Upstream.StartedAt, c.Upstream.Sequence, c.Upstream.Draining, c.Revision))
	}
	return words
}

func tellFormer(list []registry.FormerRecord) (words []string) {
	for _, f := range list {
		words = append(words, fmt.Sprintf("%s born %d said %d left %v missing %v", f.Key, f.Upstream.StartedAt, f.Upstream.Sequence, f.Deleted, f.MissingFor))
	}
	return words
}

// removal is that an upstream was shown as removed.
type removal struct {
	at   time.Duration // when it first was
	said int64         // what the upstream had last said
}

// learner is a process with what it showed before.
type learner struct {
	d       *registry.Directory
	shown   map[incarnation]registry.Status
	removed map[incarnation]removal
	version uint64
	began   time.Duration // when its era became known
}

func newLearner() *learner {
	return &learner{
		d:       registry.NewDirectory(),
		shown:   make(map[incarnation]registry.Status),
		removed: make(map[incarnation]removal),
	}
}

// members returns the upstreams that a process shows.
func (l *learner) members(now time.Duration) []registry.Member {
	var list []registry.Member
	for _, p := range l.d.Snapshot(now).Pools() {
		list = append(list, p.Members...)
	}
	return list
}

// view returns how each incarnation may be used.
func (l *learner) view(now time.Duration) map[incarnation]registry.Status {
	list := make(map[incarnation]registry.Status)
	for _, m := range l.members(now) {
		list[incarnation{key: m.ID, born: m.StartedAt}] = m.Status
	}
	return list
}

// eraWorld draws the steps of one case.
type eraWorld struct {
	t        *rapid.T
	now      time.Duration
	store    eraStore
	copies   []eraStore
	actors   map[string]*actor
	gone     map[incarnation]bool
	learners []*learner
	late     []registry.Update // answers that are still on their way
	born     int64
}

func (w *eraWorld) key() string {
	return "k" + strconv.Itoa(rapid.IntRange(1, 4).Draw(w.t, "key"))
}

func (w *eraWorld) learner() *learner {
	return rapid.SampledFrom(w.learners).Draw(w.t, "process")
}

// begin starts an incarnation, which may follow one under the same key, on the same host or another service.
func (w *eraWorld) begin() {
	key := w.key()
	if a := w.actors[key]; a != nil && !a.gone {
		return
	}
	w.born++
	u := upstream(byte(rapid.IntRange(1, 4).Draw(w.t, "host")), w.born)
	u.ID = key
	u.Service = rapid.SampledFrom([]string{fitting, "report"}).Draw(w.t, "service")
	w.actors[key] = &actor{now: *u}
	w.store.write(key, u)
}

// speak lets an upstream write what it is; the entry changes when more than its count does.
func (w *eraWorld) speak(key string) {
	a := w.actors[key]
	if a == nil || a.gone {
		return
	}
	a.now.Sequence++
	if c, listed := w.store.items[key]; listed {
		same := *c.Upstream
		same.Sequence = a.now.Sequence
		if same == a.now {
			return
		}
	}
	w.store.write(key, &a.now)
}

func (w *eraWorld) drain() {
	key := w.key()
	if a := w.actors[key]; a != nil && !a.gone {
		a.now.Draining = true
		w.speak(key)
	}
}

func (w *eraWorld) leave() {
	key := w.key()
	a := w.actors[key]
	if a == nil || a.gone {
		return
	}
	a.gone = true
	w.gone[incarnation{key: key, born: a.now.StartedAt}] = true
	w.lapse(key)
}

// lapse removes an entry, as when its upstream has been silent.
func (w *eraWorld) lapse(key string) {
	if _, listed := w.store.items[key]; listed {
		w.store.write(key, nil)
	}
}

func (w *eraWorld) rewind() {
	w.copies = slices.DeleteFunc(w.copies, func(c eraStore) bool { return w.now-c.made > copyAge })
	if len(w.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(w.copies).Draw(w.t, "copy").copy()
	c.era = w.store.era + 1
	w.store = c
}

// apply merges an update and checks what a process shows.
func (w *eraWorld) apply(l *learner, u registry.Update) registry.Result {
	before := l.view(w.now)
	res := l.d.Apply(w.now, u)
	w.t.Logf("%v: process %d takes %v, whole %v, from %v: %v, former %v: has %v and shows %v", w.now, slices.Index(w.learners, l), u.State, u.Whole, u.From, tell(u.Changes), tellFormer(u.Former), l.d.State(), l.view(w.now))
	if res.NewEra {
		l.began = w.now
		for i, s := range l.view(w.now) {
			old, known := before[i]
			if known && old != registry.Removed && s == registry.Removed && !missed(u.Former, i) {
				w.t.Fatalf("%v was taken away as era %v began", i, l.d.State())
			}
		}
	}
	if l.d.Version() < l.version {
		w.t.Fatalf("routes fell from version %d to %d", l.version, l.d.Version())
	}
	l.version = l.d.Version()
	w.check(l)
	return res
}

// missed reports whether a peer tells that it has missed an upstream for so long that it is gone.
func missed(list []registry.FormerRecord, i incarnation) bool {
	return slices.ContainsFunc(list, func(f registry.FormerRecord) bool {
		return f.Key == i.key && f.Upstream.StartedAt == i.born && f.MissingFor >= registry.MissingGrace
	})
}

// check compares what a process shows with what it showed before.
func (w *eraWorld) check(l *learner) {
	now := l.view(w.now)
	maps.DeleteFunc(l.removed, func(i incarnation, r removal) bool {
		// What the store goes on having lives, also where another upstream of the host stands for it.
		lives := w.now-l.began >= unusedFor && now[i] != registry.Removed
		return lives || w.now-r.at >= forgottenAfter
	})
	for _, m := range l.members(w.now) {
		i := incarnation{key: m.ID, born: m.StartedAt}
		before, shown := l.shown[i]
		known, removed := l.removed[i]
		switch {
		case shown && before == registry.Leaving && m.Status == registry.Available:
			w.t.Fatalf("%v drained, and takes flows again", i)
		case m.Status == registry.Removed && !removed:
			l.removed[i] = removal{at: w.now, said: m.Sequence}
		case m.Status == registry.Removed:
			l.removed[i] = removal{at: known.at, said: m.Sequence}
		case removed && m.Sequence > known.said:
			delete(l.removed, i) // it said more of itself
		case removed && w.gone[i]:
			w.t.Fatalf("%v left, and is used again", i)
		}
		l.shown[i] = m.Status
	}
}

// watch lets a process read on, and everything when that cannot be.
func (w *eraWorld) watch(l *learner) {
	u, ok := w.store.watch(l.d.State())
	if !ok || u.State.Era < l.d.State().Era || w.apply(l, u).Gap {
		w.apply(l, w.store.read())
	}
}

// pull lets a process ask another one, and checks that it knows of no less then.
func (w *eraWorld) pull(l, of *learner) {
	theirs := make(map[incarnation]registry.Member)
	for _, m := range of.members(w.now) {
		theirs[incarnation{key: m.ID, born: m.StartedAt}] = m
	}
	w.apply(l, of.d.Since(w.now, l.d.Version(), l.d.State()))
	if l.d.State() != of.d.State() || l.d.State() != w.store.state() {
		return
	}
	for _, m := range l.members(w.now) {
		i := incarnation{key: m.ID, born: m.StartedAt}
		told, known := theirs[i]
		c, listed := w.store.items[i.key]
		if !known || !listed || c.Upstream.StartedAt != i.born || m.Sequence > told.Sequence || m.Status != registry.Available {
			continue
		}
		if told.Status == registry.Leaving || told.Status == registry.Removed && w.now-l.began < unusedFor {
			w.t.Fatalf("%v is %v at the process that was asked, and available here", i, told.Status)
		}
	}
}

func (w *eraWorld) step() {
	w.now += time.Duration(rapid.SampledFrom([]int{1, 30, 300, 1500, 4000}).Draw(w.t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 13).Draw(w.t, "step") {
	case 0, 1:
		w.begin()
	case 2:
		w.speak(w.key())
	case 3:
		w.drain()
	case 4:
		w.leave()
	case 5:
		w.lapse(w.key())
	case 6:
		c := w.store.copy()
		c.made = w.now
		w.copies = append(w.copies, c)
	case 7:
		w.rewind()
	case 8:
		w.store.version += uint64(rapid.IntRange(1, 3).Draw(w.t, "more"))
	case 9:
		w.apply(w.learner(), w.store.read())
	case 10, 11:
		w.watch(w.learner())
	case 12:
		w.pull(w.learner(), w.learner())
	case 13:
		w.arrive()
	}
	for _, l := range w.learners {
		l.d.Expire(w.now)
		w.check(l)
	}
}

// arrive lets an answer come late, or a process start again.
func (w *eraWorld) arrive() {
	l := w.learner()
	switch rapid.IntRange(0, 2).Draw(w.t, "how") {
	case 0:
		w.late = append(w.late, w.store.read())
	case 1:
		if len(w.late) > 0 {
			w.apply(l, rapid.SampledFrom(w.late).Draw(w.t, "answer"))
		}
	case 2:
		*l = *newLearner()
	}
}

// settle lets all write what they are, and everyone learn it.
func (w *eraWorld) settle() {
	for key, a := range w.actors {
		if a.gone {
			w.lapse(key)
			continue
		}
		w.speak(key)
	}
	for key := range w.store.items {
		if w.actors[key] == nil {
			w.lapse(key)
		}
	}
	for _, l := range w.learners {
		w.watch(l)
		w.pull(l, w.learners[0])
	}
	w.now += unusedFor
	for _, l := range w.learners {
		l.d.Expire(w.now)
		w.check(l)
	}
}

// TestDirectoriesConvergeAcrossEras lets processes learn from a store that comes back from copies,
// and from each other, in any order. Nothing that left or drains is used again
// meanwhile, routes never fall, and in the end all agree with the store.
func TestDirectoriesConvergeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &eraWorld{t: t, actors: make(map[string]*actor), gone: make(map[incarnation]bool)}
		w.store = eraStore{revision: 1, items: make(map[string]registry.Change)}
		w.copies = []eraStore{w.store.copy()}
		for range 3 {
			w.learners = append(w.learners, newLearner())
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		want := make(map[incarnation]registry.Status)
		for key, c := range w.store.items {
			want[incarnation{key: key, born: c.Upstream.StartedAt}] = standingOf(c.Upstream)
		}
		for n, l := range w.learners {
			w.agree(n, l, want)
			l.d.Expire(w.now + 2*time.Minute)
			if l.d.FormerHash() != 0 {
				t.Fatalf("process %d still knows of earlier eras", n)
			}
		}
	})
}

func standingOf(u *registry.Upstream) registry.Status {
	if u.Draining {
		return registry.Leaving
	}
	return registry.Available
}

// agree checks that a process uses what the store has. Of two upstreams of a
// service on one host the younger one stands.
func (w *eraWorld) agree(n int, l *learner, want map[incarnation]registry.Status) {
	got := l.view(w.now)
	for i, s := range got {
		if s != registry.Removed && want[i] != s {
			w.t.Fatalf("process %d has %v as %v", n, i, s)
		}
		if _, listed := want[i]; !listed && s != registry.Removed {
			w.t.Fatalf("process %d uses %v, which the store lacks", n, i)
		}
	}
	for i := range want {
		if _, known := got[i]; !known && !w.crowded(i) {
			w.t.Fatalf("process %d lacks %v", n, i)
		}
	}
}

// crowded reports whether another upstream of the service is on the same host.
func (w *eraWorld) crowded(i incarnation) bool {
	u := w.store.items[i.key].Upstream
	for key, c := range w.store.items {
		if key != i.key && c.Upstream.Service == u.Service && c.Upstream.Address.Host == u.Address.Host {
			return true
		}
	}
	return false
}
