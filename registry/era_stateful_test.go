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

// maxStep is the longest time between two checks of the processes.
const maxStep = 4 * time.Second

// minRetention is the time after its first removed status from which on an upstream may be dropped.
const minRetention = time.Minute - registry.MissingGrace - maxStep

// maxCopyAge is the maximum age of a copy that the store is restored from.
const maxCopyAge = 30 * time.Second

// quarantine is how long after the start of an era a deleted upstream stays unused.
const quarantine = 10 * time.Second

// fakeUpstream is an upstream that registers itself. It rewrites an entry that the
// store lost, after a random delay.
type fakeUpstream struct {
	content registry.Upstream // its current entry
	stopped bool
}

// incarnation identifies one run of an upstream.
type incarnation struct {
	key       string
	startedAt int64
}

// fakeStore is a store that can be restored from copies of itself.
type fakeStore struct {
	era      registry.Era
	revision uint64
	entries  map[string]registry.Change
	history  []registry.Change // changes that led to entries, in order
	version  uint64
	copiedAt time.Duration // when this copy was made
}

func (s fakeStore) copy() fakeStore {
	c := s
	c.entries, c.history = maps.Clone(s.entries), slices.Clone(s.history)
	return c
}

func (s *fakeStore) write(key string, u *registry.Upstream) {
	s.revision++
	c := registry.Change{Key: key, Revision: s.revision}
	delete(s.entries, key)
	if u != nil {
		content := *u
		c.Upstream = &content
		s.entries[key] = c
	}
	s.history = append(s.history, c)
}

func (s *fakeStore) state() registry.State {
	return registry.State{Era: s.era, Revision: s.revision}
}

func (s *fakeStore) routes() *registry.Routes {
	if s.version == 0 {
		return nil
	}
	return &registry.Routes{Version: s.version}
}

func (s *fakeStore) read() registry.Update {
	return registry.Update{State: s.state(), Whole: true, Routes: s.routes(), Changes: slices.Collect(maps.Values(s.entries))}
}

// watch returns the changes after a revision. Like the real store, it ignores the
// era that the revision belongs to. ok is false where the store would answer 410.
func (s *fakeStore) watch(after registry.State) (u registry.Update, ok bool) {
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

// formatChanges formats changes for the log of a failed case.
func formatChanges(changes []registry.Change) (lines []string) {
	for _, c := range changes {
		if c.Upstream == nil {
			lines = append(lines, fmt.Sprintf("%s removed at %d", c.Key, c.Revision))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s started %d sequence %d draining %v at %d", c.Key, c.Upstream.StartedAt, c.Upstream.Sequence, c.Upstream.Draining, c.Revision))
	}
	return lines
}

func formatFormer(list []registry.FormerRecord) (lines []string) {
	for _, f := range list {
		lines = append(lines, fmt.Sprintf("%s started %d sequence %d deleted %v missing for %v", f.Key, f.Upstream.StartedAt, f.Upstream.Sequence, f.Deleted, f.MissingFor))
	}
	return lines
}

// removal records that an upstream had the status Removed.
type removal struct {
	at       time.Duration // when it first had the status
	sequence int64         // last sequence number of the upstream
}

// process is a directory with the statuses that it returned before.
type process struct {
	directory *registry.Directory
	statuses  map[incarnation]registry.Status
	removed   map[incarnation]removal
	version   uint64
	eraStart  time.Duration // when it applied its era
}

func newProcess() *process {
	return &process{
		directory: registry.NewDirectory(),
		statuses:  make(map[incarnation]registry.Status),
		removed:   make(map[incarnation]removal),
	}
}

// members returns the upstreams of all pools.
func (p *process) members(now time.Duration) []registry.Member {
	var list []registry.Member
	for _, pool := range p.directory.Snapshot(now).Pools() {
		list = append(list, pool.Members...)
	}
	return list
}

// currentStatuses returns the status of each incarnation.
func (p *process) currentStatuses(now time.Duration) map[incarnation]registry.Status {
	list := make(map[incarnation]registry.Status)
	for _, m := range p.members(now) {
		list[incarnation{key: m.ID, startedAt: m.StartedAt}] = m.Status
	}
	return list
}

// eraWorkload generates the steps of one case and checks the processes after each.
type eraWorkload struct {
	t         *rapid.T
	now       time.Duration
	store     fakeStore
	copies    []fakeStore
	upstreams map[string]*fakeUpstream
	stopped   map[incarnation]bool
	processes []*process
	delayed   []registry.Update // updates that have not been delivered yet
	started   int64
}

func (w *eraWorkload) drawKey() string {
	return "k" + strconv.Itoa(rapid.IntRange(1, 4).Draw(w.t, "key"))
}

func (w *eraWorkload) drawProcess() *process {
	return rapid.SampledFrom(w.processes).Draw(w.t, "process")
}

// start starts an incarnation, which may reuse the key or the host of an earlier one
// and may serve another service.
func (w *eraWorkload) start() {
	key := w.drawKey()
	if fake := w.upstreams[key]; fake != nil && !fake.stopped {
		return
	}
	w.started++
	u := upstream(byte(rapid.IntRange(1, 4).Draw(w.t, "host")), w.started)
	u.ID = key
	u.Service = rapid.SampledFrom([]string{testService, "report"}).Draw(w.t, "service")
	w.upstreams[key] = &fakeUpstream{content: *u}
	w.store.write(key, u)
}

// publish writes the entry of an upstream unless only its sequence number changed.
func (w *eraWorkload) publish(key string) {
	fake := w.upstreams[key]
	if fake == nil || fake.stopped {
		return
	}
	fake.content.Sequence++
	if c, listed := w.store.entries[key]; listed {
		same := *c.Upstream
		same.Sequence = fake.content.Sequence
		if same == fake.content {
			return
		}
	}
	w.store.write(key, &fake.content)
}

func (w *eraWorkload) drain() {
	key := w.drawKey()
	if fake := w.upstreams[key]; fake != nil && !fake.stopped {
		fake.content.Draining = true
		w.publish(key)
	}
}

func (w *eraWorkload) stop() {
	key := w.drawKey()
	fake := w.upstreams[key]
	if fake == nil || fake.stopped {
		return
	}
	fake.stopped = true
	w.stopped[incarnation{key: key, startedAt: fake.content.StartedAt}] = true
	w.expire(key)
}

// expire removes an entry, as the store does when its upstream stops refreshing it.
func (w *eraWorkload) expire(key string) {
	if _, listed := w.store.entries[key]; listed {
		w.store.write(key, nil)
	}
}

func (w *eraWorkload) restore() {
	w.copies = slices.DeleteFunc(w.copies, func(c fakeStore) bool { return w.now-c.copiedAt > maxCopyAge })
	if len(w.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(w.copies).Draw(w.t, "copy").copy()
	c.era = w.store.era + 1
	w.store = c
}

// apply merges an update into a directory and checks the result.
func (w *eraWorkload) apply(p *process, u registry.Update) registry.Result {
	before := p.currentStatuses(w.now)
	res := p.directory.Apply(w.now, u)
	w.t.Logf("%v: process %d applies %v, whole %v, from %v: %v, former %v: state is %v, statuses are %v", w.now, slices.Index(w.processes, p), u.State, u.Whole, u.From, formatChanges(u.Changes), formatFormer(u.Former), p.directory.State(), p.currentStatuses(w.now))
	if res.NewEra {
		p.eraStart = w.now
		for i, s := range p.currentStatuses(w.now) {
			old, known := before[i]
			if known && old != registry.Removed && s == registry.Removed && !reportedMissing(u.Former, i) {
				w.t.Fatalf("%v was removed by the start of era %v", i, p.directory.State())
			}
		}
	}
	if p.directory.Version() < p.version {
		w.t.Fatalf("routes went back from version %d to %d", p.version, p.directory.Version())
	}
	p.version = p.directory.Version()
	w.check(p)
	return res
}

// reportedMissing reports whether a peer reports an upstream as missing for at least MissingGrace.
func reportedMissing(list []registry.FormerRecord, i incarnation) bool {
	return slices.ContainsFunc(list, func(f registry.FormerRecord) bool {
		return f.Key == i.key && f.Upstream.StartedAt == i.startedAt && f.MissingFor >= registry.MissingGrace
	})
}

// check compares the statuses in a process with its earlier ones.
func (w *eraWorkload) check(p *process) {
	now := p.currentStatuses(w.now)
	maps.DeleteFunc(p.removed, func(i incarnation, r removal) bool {
		// An entry that outlasts the quarantine is live, also when another upstream represents its host.
		stillAlive := w.now-p.eraStart >= quarantine && now[i] != registry.Removed
		return stillAlive || w.now-r.at >= minRetention
	})
	for _, m := range p.members(w.now) {
		i := incarnation{key: m.ID, startedAt: m.StartedAt}
		before, seen := p.statuses[i]
		record, removed := p.removed[i]
		switch {
		case seen && before == registry.Leaving && m.Status == registry.Available:
			w.t.Fatalf("%v was draining and is available again", i)
		case m.Status == registry.Removed && !removed:
			p.removed[i] = removal{at: w.now, sequence: m.Sequence}
		case m.Status == registry.Removed:
			p.removed[i] = removal{at: record.at, sequence: m.Sequence}
		case removed && m.Sequence > record.sequence:
			delete(p.removed, i) // it has published again
		case removed && w.stopped[i]:
			w.t.Fatalf("%v was stopped and removed, and is used again", i)
		}
		p.statuses[i] = m.Status
	}
}

// watch delivers the next changes to a process, or the full list when there is a gap.
func (w *eraWorkload) watch(p *process) {
	u, ok := w.store.watch(p.directory.State())
	if !ok || u.State.Era < p.directory.State().Era || w.apply(p, u).Gap {
		w.apply(p, w.store.read())
	}
}

// pull merges the records of a peer into a process, and checks that the process does
// not use upstreams that the peer has as leaving or removed.
func (w *eraWorkload) pull(p, peer *process) {
	theirs := make(map[incarnation]registry.Member)
	for _, m := range peer.members(w.now) {
		theirs[incarnation{key: m.ID, startedAt: m.StartedAt}] = m
	}
	w.apply(p, peer.directory.Since(w.now, p.directory.Version(), p.directory.State()))
	if p.directory.State() != peer.directory.State() || p.directory.State() != w.store.state() {
		return
	}
	for _, m := range p.members(w.now) {
		i := incarnation{key: m.ID, startedAt: m.StartedAt}
		theirMember, known := theirs[i]
		c, listed := w.store.entries[i.key]
		if !known || !listed || c.Upstream.StartedAt != i.startedAt || m.Sequence > theirMember.Sequence || m.Status != registry.Available {
			continue
		}
		if theirMember.Status == registry.Leaving || theirMember.Status == registry.Removed && w.now-p.eraStart < quarantine {
			w.t.Fatalf("%v has status %v at the peer, and is available after the pull", i, theirMember.Status)
		}
	}
}

func (w *eraWorkload) step() {
	w.now += time.Duration(rapid.SampledFrom([]int{1, 30, 300, 1500, 4000}).Draw(w.t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 13).Draw(w.t, "step") {
	case 0, 1:
		w.start()
	case 2:
		w.publish(w.drawKey())
	case 3:
		w.drain()
	case 4:
		w.stop()
	case 5:
		w.expire(w.drawKey())
	case 6:
		c := w.store.copy()
		c.copiedAt = w.now
		w.copies = append(w.copies, c)
	case 7:
		w.restore()
	case 8:
		w.store.version += uint64(rapid.IntRange(1, 3).Draw(w.t, "more"))
	case 9:
		w.apply(w.drawProcess(), w.store.read())
	case 10, 11:
		w.watch(w.drawProcess())
	case 12:
		w.pull(w.drawProcess(), w.drawProcess())
	case 13:
		w.disturb()
	}
	for _, p := range w.processes {
		p.directory.Expire(w.now)
		w.check(p)
	}
}

// disturb delays an update, delivers a delayed one, or restarts a process.
func (w *eraWorkload) disturb() {
	p := w.drawProcess()
	switch rapid.IntRange(0, 2).Draw(w.t, "how") {
	case 0:
		w.delayed = append(w.delayed, w.store.read())
	case 1:
		if len(w.delayed) > 0 {
			w.apply(p, rapid.SampledFrom(w.delayed).Draw(w.t, "answer"))
		}
	case 2:
		*p = *newProcess()
	}
}

// converge lets all upstreams publish and all processes read the store, and ends the quarantine.
func (w *eraWorkload) converge() {
	for key, fake := range w.upstreams {
		if fake.stopped {
			w.expire(key)
			continue
		}
		w.publish(key)
	}
	for key := range w.store.entries {
		if w.upstreams[key] == nil {
			w.expire(key)
		}
	}
	for _, p := range w.processes {
		w.watch(p)
		w.pull(p, w.processes[0])
	}
	w.now += quarantine
	for _, p := range w.processes {
		p.directory.Expire(w.now)
		w.check(p)
	}
}

// TestDirectoriesConvergeAcrossEras lets processes read a store that is restored from
// older copies, and pull from each other, in any order. Draining and stopped upstreams
// must not be used again, route versions must not go back, and in the end all
// processes must agree with the store.
func TestDirectoriesConvergeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &eraWorkload{t: t, upstreams: make(map[string]*fakeUpstream), stopped: make(map[incarnation]bool)}
		w.store = fakeStore{revision: 1, entries: make(map[string]registry.Change)}
		w.copies = []fakeStore{w.store.copy()}
		for range 3 {
			w.processes = append(w.processes, newProcess())
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
		}
		w.converge()
		want := make(map[incarnation]registry.Status)
		for key, c := range w.store.entries {
			want[incarnation{key: key, startedAt: c.Upstream.StartedAt}] = statusOf(c.Upstream)
		}
		for n, p := range w.processes {
			w.checkAgainstStore(n, p, want)
			p.directory.Expire(w.now + 2*time.Minute)
			if p.directory.FormerHash() != 0 {
				t.Fatalf("process %d still has records of earlier eras", n)
			}
		}
	})
}

func statusOf(u *registry.Upstream) registry.Status {
	if u.Draining {
		return registry.Leaving
	}
	return registry.Available
}

// checkAgainstStore compares the statuses in a process with the store. Of several
// upstreams of a service on one host only one is in its pool.
func (w *eraWorkload) checkAgainstStore(n int, p *process, want map[incarnation]registry.Status) {
	got := p.currentStatuses(w.now)
	for i, s := range got {
		if s != registry.Removed && want[i] != s {
			w.t.Fatalf("process %d: %v has status %v", n, i, s)
		}
		if _, listed := want[i]; !listed && s != registry.Removed {
			w.t.Fatalf("process %d uses %v, which is not in the store", n, i)
		}
	}
	for i := range want {
		if _, known := got[i]; !known && !w.sharesHost(i) {
			w.t.Fatalf("process %d: %v is missing", n, i)
		}
	}
}

// sharesHost reports whether another upstream of the service is on the same host.
func (w *eraWorkload) sharesHost(i incarnation) bool {
	u := w.store.entries[i.key].Upstream
	for key, c := range w.store.entries {
		if key != i.key && c.Upstream.Service == u.Service && c.Upstream.Address.Host == u.Address.Host {
			return true
		}
	}
	return false
}
