package peer_test

import (
	"bytes"
	"testing"

	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/peer"
	"github.com/shoenig/test/must"
)

func messages() []peer.Message {
	v := peer.Version{Sequence: 7, Hash: make([]byte, converge.HashSize)}
	return []peer.Message{
		peer.Hello{Oldest: 1, Newest: 2, Name: "entry-1", DataCentre: "semarang"},
		peer.Digest{InForce: v, List: v, Origin: "entry-1", Age: 1500, Request: 3},
		peer.Want{Kind: converge.KindBundle, Version: v, Names: []string{"service/fitting"}},
		peer.Table{Kind: converge.KindList, Version: v, Names: []string{"a"}, Hashes: make([]byte, 8)},
		peer.Changes{Kind: converge.KindBundle, Version: v, Base: v, Head: []byte{1}, Removed: []string{"b"}, Count: 1},
		peer.Sections{Kind: converge.KindBundle, Version: v, Names: []string{"a"}, Bodies: [][]byte{{1, 2}}},
		peer.Refusal{Kind: converge.KindList, Version: v},
		peer.Close{},
	}
}

func encodeFrame(t testing.TB, m peer.Message) []byte {
	t.Helper()
	var b bytes.Buffer
	must.NoError(t, peer.WriteMessage(&b, m))
	return b.Bytes()
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range messages() {
		frame := encodeFrame(t, m)
		got, err := peer.ReadMessage(bytes.NewReader(frame))
		must.NoError(t, err)
		must.Eq(t, frame, encodeFrame(t, got))
	}
}

func TestReadMessageRejectsInvalidFrames(t *testing.T) {
	cases := map[string][]byte{
		"empty":            {0, 0, 0, 0},
		"oversized":        {0xff, 0xff, 0xff, 0xff},
		"truncated":        {0, 0, 0, 9, 1, 2},
		"unknown type":     {0, 0, 0, 2, 99, 0x80},
		"not msgpack":      {0, 0, 0, 2, 1, 0xc1},
		"hello no name":    {0, 0, 0, 2, 1, 0x80},
		"announced length": {0, 0, 0, 6, 6, 0xdd, 0xff, 0xff, 0xff, 0xff},
	}
	for name, frame := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := peer.ReadMessage(bytes.NewReader(frame))
			must.Error(t, err)
		})
	}
}

func FuzzReadMessage(f *testing.F) {
	for _, m := range messages() {
		f.Add(encodeFrame(f, m))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := peer.ReadMessage(bytes.NewReader(frame))
		if err != nil {
			return
		}
		written := encodeFrame(t, m)
		again, err := peer.ReadMessage(bytes.NewReader(written))
		must.NoError(t, err)
		must.Eq(t, written, encodeFrame(t, again))
	})
}
