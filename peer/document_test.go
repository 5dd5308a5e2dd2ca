package peer_test

import (
	"maps"
	"testing"

	"github.com/corianderbay/corianderbay/peer"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestStatefulFetch changes a document at random and checks that a holder which
// is behind by any number of versions fetches exactly the current sections.
func TestStatefulFetch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sections := make(map[string][]byte)
		source, holder := peer.NewReplica(), peer.NewReplica()
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				sections = maps.Clone(sections)
				for range rapid.IntRange(1, 3).Draw(t, "count") {
					name := rapid.StringMatching("[a-e]").Draw(t, "name")
					if rapid.Bool().Draw(t, "remove") {
						delete(sections, name)
						continue
					}
					sections[name] = []byte{rapid.Byte().Draw(t, "body")}
				}
				sequence++
				source.Advance(sequence, []byte{1}, sections)
			},
			"forget": func(*rapid.T) {
				if sequence > 0 {
					source.DropHistory()
				}
			},
			"fetch": func(t *rapid.T) {
				if sequence == 0 {
					return
				}
				got := source.Fetch(holder, func(m peer.Message) peer.Message { return m })
				must.Eq(t, sections, got)
				holder.Advance(sequence, []byte{1}, got)
			},
		})
	})
}

// TestPendingVersionIsSentAsChanges fetches a version that is still pending at
// the source. Only the sections that differ must be sent.
func TestPendingVersionIsSentAsChanges(t *testing.T) {
	source, holder := peer.NewReplica(), peer.NewReplica()
	old := map[string][]byte{"a": {1}, "b": {1}, "c": {1}}
	next := map[string][]byte{"a": {1}, "b": {2}, "d": {1}}
	source.Advance(1, nil, old)
	holder.Advance(1, nil, old)
	sent := 0
	got := source.FetchPending(holder, 2, next, func(m peer.Message) peer.Message {
		if s, ok := m.(peer.Sections); ok {
			sent += len(s.Names)
		}
		return m
	})
	must.Eq(t, next, got)
	must.Eq(t, 2, sent)
}
