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

const noVersion = -1 // in place of the number of missed changes, for a holder without any version

// BenchmarkSyncStrategies compares three ways to update a process that missed
// changes of one service each: sending the changes since its version, comparing
// a flat table of section hashes, and comparing a hash tree of two levels. It
// reports the bytes of all messages in both directions, the round trips, and the
// time of both sides.
func BenchmarkSyncStrategies(b *testing.B) {
	for _, services := range []int{10, 100, 1700} {
		for _, missed := range []int{noVersion, 1, 30, 300} {
			c := newSyncCase(b, services, missed)
			b.Run(fmt.Sprintf("services=%d/missed=%d/changes", services, missed), c.changes)
			b.Run(fmt.Sprintf("services=%d/missed=%d/flat", services, missed), c.flat)
			b.Run(fmt.Sprintf("services=%d/missed=%d/tree", services, missed), c.tree)
		}
	}
}

// syncCase is a source of a document and a holder of an older version or none.
type syncCase struct {
	head        []byte
	old, latest map[string][]byte // old is nil for a holder without any version
	source      *peer.Replica
	holder      *peer.Replica
	bytesSent   int
}

func newSyncCase(b *testing.B, services, missed int) *syncCase {
	m := *signed(b, 1, 1, nil).Manifest()
	m.Entries = nil
	head, err := wire.Encode(m)
	must.NoError(b, err)
	d := &syncCase{head: head, latest: make(map[string][]byte), source: peer.NewReplica(), holder: peer.NewReplica()}
	for i := range services {
		d.change(b, i, 100)
	}
	d.source.Advance(1, head, d.latest)
	if missed != noVersion {
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

func (d *syncCase) change(b *testing.B, i, weight int) {
	s := service(i, weight)
	body, err := wire.Encode(s)
	must.NoError(b, err)
	d.latest["service/"+s.Name] = body
}

// transmit returns a function that encodes and decodes a message and counts its bytes.
func (d *syncCase) transmit(b *testing.B) func(peer.Message) peer.Message {
	return func(m peer.Message) peer.Message {
		var buf bytes.Buffer
		must.NoError(b, peer.WriteMessage(&buf, m))
		d.bytesSent += buf.Len()
		got, err := peer.ReadMessage(&buf)
		must.NoError(b, err)
		return got
	}
}

func (d *syncCase) report(b *testing.B, roundTrips int) {
	b.ReportMetric(float64(d.bytesSent)/float64(b.N), "bytes")
	b.ReportMetric(float64(roundTrips), "trips")
	d.bytesSent = 0
}

func (d *syncCase) changes(b *testing.B) {
	for b.Loop() {
		d.source.Fetch(d.holder, d.transmit(b))
	}
	d.report(b, 1)
}

func (d *syncCase) flat(b *testing.B) {
	withoutHistory := peer.NewReplica()
	withoutHistory.Advance(1_000_000, d.head, d.latest)
	for b.Loop() {
		withoutHistory.Fetch(d.holder, d.transmit(b))
	}
	d.report(b, 2)
}

// tree sends the hashes of all blocks, then the section hashes of the blocks that
// differ, then the sections that differ.
func (d *syncCase) tree(b *testing.B) {
	for b.Loop() {
		d.fetchTree(b)
	}
	d.report(b, 3)
}

func (d *syncCase) fetchTree(b *testing.B) {
	transmit := d.transmit(b)
	if d.old == nil {
		d.source.Fetch(d.holder, transmit)
		return
	}
	version := peer.Version{Sequence: 1, Hash: make([]byte, 16)}
	want := func(names ...string) { transmit(peer.Want{Kind: 1, Version: version, Base: version, Names: names}) }
	table := func(names []string, hashes []byte) {
		transmit(peer.Table{Kind: 1, Version: version, Names: names, Hashes: hashes})
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
	transmit(peer.Changes{Kind: 1, Version: version, Base: version, Head: d.head, Count: len(names)})
	transmit(sections)
}

// block is a range of sections in the order of their names.
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
