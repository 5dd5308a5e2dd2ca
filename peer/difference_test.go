package peer_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

const fresh = -1 // missed changes of a process that holds nothing

// BenchmarkSyncStrategies compares, for a process that missed changes of one
// service each: the changes since its version, a flat table of section hashes,
// and a tree of two levels. It reports the bytes of all messages in both
// directions, the round trips and the time for both sides.
func BenchmarkSyncStrategies(b *testing.B) {
	for _, services := range []int{10, 100, 1700} {
		for _, missed := range []int{fresh, 1, 30, 300} {
			c := newDifference(b, services, missed)
			b.Run(fmt.Sprintf("services=%d/missed=%d/changes", services, missed), c.changes)
			b.Run(fmt.Sprintf("services=%d/missed=%d/flat", services, missed), c.flat)
			b.Run(fmt.Sprintf("services=%d/missed=%d/tree", services, missed), c.tree)
		}
	}
}

// difference is a source of a document and a holder of an older version.
type difference struct {
	head        []byte
	old, latest map[string][]byte // old is nil for a fresh process
	source      *peer.Replica
	holder      *peer.Replica
	sum         int
}

func newDifference(b *testing.B, services, missed int) *difference {
	m := *signed(b, 1, 1, nil).Manifest()
	m.Entries = nil
	head, err := wire.Encode(m)
	must.NoError(b, err)
	d := &difference{head: head, latest: make(map[string][]byte), source: peer.NewReplica(), holder: peer.NewReplica()}
	for i := range services {
		d.change(b, i, 100)
	}
	d.source.Advance(1, head, d.latest)
	if missed != fresh {
		d.old = maps.Clone(d.latest)
		d.holder.Advance(1, head, d.old)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for i := range max(missed, 0) {
		d.change(b, r.IntN(services), 101+i)
		d.source.Advance(uint64(2+i), head, d.latest)
	}
	return d
}

func (d *difference) change(b *testing.B, i, weight int) {
	s := service(i, weight)
	body, err := wire.Encode(s)
	must.NoError(b, err)
	d.latest["service/"+s.Name] = body
}

// carry counts a message on its way over the wire.
func (d *difference) carry(b *testing.B) func(peer.Message) peer.Message {
	return func(m peer.Message) peer.Message {
		var buf bytes.Buffer
		must.NoError(b, peer.WriteMessage(&buf, m))
		d.sum += buf.Len()
		got, err := peer.ReadMessage(&buf)
		must.NoError(b, err)
		return got
	}
}

func (d *difference) report(b *testing.B, trips int) {
	b.ReportMetric(float64(d.sum)/float64(b.N), "bytes")
	b.ReportMetric(float64(trips), "trips")
	d.sum = 0
}

func (d *difference) changes(b *testing.B) {
	for b.Loop() {
		d.source.Fetch(d.holder, d.carry(b))
	}
	d.report(b, 1)
}

func (d *difference) flat(b *testing.B) {
	forgetful := peer.NewReplica()
	forgetful.Advance(1_000_000, d.head, d.latest)
	for b.Loop() {
		forgetful.Fetch(d.holder, d.carry(b))
	}
	d.report(b, 2)
}

// tree sends the hashes of blocks, then the hashes in blocks that differ, then the sections.
func (d *difference) tree(b *testing.B) {
	for b.Loop() {
		d.exchangeTree(b)
	}
	d.report(b, 3)
}

func (d *difference) exchangeTree(b *testing.B) {
	carry := d.carry(b)
	if d.old == nil {
		d.source.Fetch(d.holder, carry)
		return
	}
	version := peer.Version{Sequence: 1, Hash: make([]byte, 16)}
	want := func(names ...string) { carry(peer.Want{Kind: 1, Version: version, Base: version, Names: names}) }
	table := func(names []string, hashes []byte) {
		carry(peer.Table{Kind: 1, Version: version, Names: names, Hashes: hashes})
	}
	size := int(math.Ceil(math.Sqrt(float64(len(d.latest)))))
	mine, theirs := blocksOf(d.old, size), blocksOf(d.latest, size)
	want()
	table(make([]string, len(theirs)), hashesOf(theirs))
	var firsts, listed, names []string
	var hashes []byte
	for i, block := range theirs {
		if i < len(mine) && bytes.Equal(mine[i].hashes, block.hashes) {
			continue
		}
		firsts = append(firsts, block.names[0])
		listed = append(listed, block.names...)
		hashes = append(hashes, block.hashes...)
	}
	want(firsts...)
	table(listed, hashes)
	sections := peer.Sections{Kind: 1, Version: version}
	for _, name := range listed {
		if !bytes.Equal(d.old[name], d.latest[name]) {
			names = append(names, name)
			sections.Names = append(sections.Names, name)
			sections.Bodies = append(sections.Bodies, d.latest[name])
		}
	}
	want(names...)
	carry(peer.Changes{Kind: 1, Version: version, Base: version, Head: d.head, Count: len(names)})
	carry(sections)
}

// block is a run of sections in the order of their names.
type block struct {
	names  []string
	hashes []byte
}

func blocksOf(sections map[string][]byte, size int) []block {
	var blocks []block
	for names := range slices.Chunk(slices.Sorted(maps.Keys(sections)), size) {
		k := block{names: names}
		for _, name := range names {
			k.hashes = binary.BigEndian.AppendUint64(k.hashes, xxhash.Sum64(sections[name]))
		}
		blocks = append(blocks, k)
	}
	return blocks
}

func hashesOf(blocks []block) []byte {
	var hashes []byte
	for _, k := range blocks {
		hashes = binary.BigEndian.AppendUint64(hashes, xxhash.Sum64(k.hashes))
	}
	return hashes
}
