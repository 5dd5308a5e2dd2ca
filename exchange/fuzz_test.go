package exchange

import (
	"bytes"
	"compress/flate"
	"io"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// addRecorded adds the recorded messages whose first byte is one of the kinds to the
// corpus, without it.
func addRecorded(f *testing.F, kinds ...kind) {
	for _, path := range []string{recorded1, recorded2} {
		for _, raw := range recorded(f, path) {
			for _, k := range kinds {
				if kind(raw[0]) == k {
					f.Add(raw[1:], byte(k.format()))
				}
			}
		}
	}
}

// FuzzHeartbeat decodes arbitrary heartbeats of both versions. A valid one must survive
// encoding, and one of version 1 must have no later field.
func FuzzHeartbeat(f *testing.F) {
	addRecorded(f, kindHeartbeat, kindHeartbeat2)
	f.Fuzz(func(t *testing.T, body []byte, v byte) {
		var b, again membership.Heartbeat
		format := membership.Format(1 + v%2)
		if decodeMessage(body, &b, format) != nil {
			return
		}
		checkAccepted(t, "heartbeat", body)
		raw, err := encodeDatagram(&b, format)
		must.NoError(t, err)
		must.NoError(t, decodeMessage(raw[1:], &again, format))
		twice, err := encodeDatagram(&again, format)
		must.NoError(t, err)
		must.Eq(t, raw, twice)
		if format == membership.Format1 {
			must.Eq(t, b.WithFormat(format).Load, b.Load)
		}
	})
}

// FuzzDigest decodes arbitrary digests of both versions. A valid one must be valid in the
// other version, too, in which it may be relayed.
func FuzzDigest(f *testing.F) {
	addRecorded(f, kindDigest, kindDigest2)
	f.Fuzz(func(t *testing.T, body []byte, v byte) {
		var d membership.Digest
		if decodeMessage(body, &d, membership.Format(1+v%2)) != nil {
			return
		}
		checkAccepted(t, "digest", body)
		for _, format := range []membership.Format{membership.Format1, membership.Format2} {
			raw, err := encodeDatagram(&d, format)
			must.NoError(t, err)
			var relayed membership.Digest
			must.NoError(t, decodeMessage(raw[1:], &relayed, format))
			must.Eq(t, len(d.Reports), len(relayed.Reports))
			for i := range relayed.Reports {
				b := relayed.Heartbeat(i)
				must.NoError(t, b.Check())
			}
		}
	})
}

// FuzzOffer decodes arbitrary offers of versions.
func FuzzOffer(f *testing.F) {
	addRecorded(f, kindOffer2)
	f.Fuzz(func(t *testing.T, body []byte, _ byte) {
		var o membership.FormatOffer
		if decodeMessage(body, &o, membership.Format2) != nil {
			return
		}
		checkAccepted(t, "offer", body)
		must.Positive(t, o.Oldest)
		must.LessEq(t, o.Newest, o.Oldest)
	})
}

// FuzzForward decodes arbitrary headers of forwarded packets. A valid one is encoded to the
// same bytes.
func FuzzForward(f *testing.F) {
	addRecorded(f, kindForward)
	f.Fuzz(func(t *testing.T, body []byte, _ byte) {
		var h, again steer.Header
		rest, err := h.Parse(body)
		if err != nil {
			return
		}
		must.Eq(t, body, append(h.Append(nil), rest...))
		must.LessEq(t, steer.MaxVisited, len(h.Visited))
		must.Eq(t, len(body), h.Size()+len(rest))
		got, err := again.Parse(append(h.Append(nil), rest...))
		must.NoError(t, err)
		must.Eq(t, rest, got)
		must.Eq(t, h.Append(nil), again.Append(nil))
	})
}

// FuzzMissing decodes arbitrary reports of missing flows. A valid one is encoded to the
// same bytes.
func FuzzMissing(f *testing.F) {
	addRecorded(f, kindMissing)
	f.Fuzz(func(t *testing.T, body []byte, _ byte) {
		m, err := steer.ParseMissReport(body)
		if err == nil {
			must.Eq(t, body, m.Append(nil))
		}
	})
}

// FuzzFlows decodes arbitrary lists of flows. A list that is empty or cut off has none; another
// one is encoded to the same bytes.
func FuzzFlows(f *testing.F) {
	addRecorded(f, kindFlows)
	f.Fuzz(func(t *testing.T, body []byte, _ byte) {
		var keys []steer.Key
		err := parseFlows(body, func(k steer.Key) { keys = append(keys, k) })
		if len(body) == 0 || len(body)%12 != 0 {
			must.Error(t, err)
			must.SliceEmpty(t, keys)
			return
		}
		must.NoError(t, err)
		must.Eq(t, body, appendFlows(nil, keys)[1:])
	})
}

// FuzzFrame reads arbitrary frames as queries and as updates. A valid update must survive
// the directory.
func FuzzFrame(f *testing.F) {
	for _, path := range []string{recorded1, recorded2} {
		for name, raw := range recorded(f, path) {
			if len(name) > 6 && name[:6] == "frame-" {
				f.Add(raw)
			}
		}
	}
	f.Add([]byte{3, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var q query
		if v, err := readFrame(bytes.NewReader(raw), membership.Format2, &q); err == nil {
			must.Between(t, membership.Format1, v, membership.Format2)
			checkAccepted(t, "query", content(t, raw))
		}
		u, err := readUpdate(bytes.NewReader(raw), membership.Format2)
		if err == nil {
			checkAccepted(t, "update", content(t, raw))
			registry.NewDirectory().Apply(0, u)
		}
	})
}

// content returns the content of a frame.
func content(t *testing.T, frame []byte) []byte {
	t.Helper()
	n := int(frame[1])<<16 | int(frame[2])<<8 | int(frame[3])
	raw, err := io.ReadAll(flate.NewReader(bytes.NewReader(frame[prefixSize:min(len(frame), prefixSize+n)])))
	must.NoError(t, err)
	return raw
}

// TestDrawnMessagesOfPeers changes recorded messages at random. It guards against fields that are
// taken although no version of a message has them, or has them so.
func TestDrawnMessagesOfPeers(t *testing.T) {
	const changes = 300 // of each message
	for _, path := range []string{recorded1, recorded2} {
		for name, raw := range recorded(t, path) {
			message := map[kind]string{kindHeartbeat: "heartbeat", kindHeartbeat2: "heartbeat", kindDigest: "digest", kindDigest2: "digest", kindOffer2: "offer"}[kind(raw[0])]
			if message == "" {
				continue
			}
			format := kind(raw[0]).format()
			r := rand.New(rand.NewPCG(62, uint64(len(name))))
			checkAccepted(t, message, raw[1:])
			for range changes {
				body := drawnBody(r, raw[1:])
				if m := newMessage(message); decodeMessage(body, m, format) == nil {
					checkAccepted(t, message, body)
				}
			}
		}
	}
}

// newMessage returns an empty message.
func newMessage(name string) message {
	switch name {
	case "heartbeat":
		return new(membership.Heartbeat)
	case "digest":
		return new(membership.Digest)
	}
	return new(membership.FormatOffer)
}

// drawnBody returns a body with one or two random changes: another byte, a byte more or less, or
// a pair of the map once more.
func drawnBody(r *rand.Rand, body []byte) []byte {
	b := bytes.Clone(body)
	for range 1 + r.IntN(2) {
		at := r.IntN(len(b))
		switch r.IntN(4) {
		case 0:
			b[at] = byte(r.IntN(256))
		case 1:
			b = slices.Insert(b, at, byte(r.IntN(256)))
		case 2:
			if len(b) > 1 {
				b = slices.Delete(b, at, at+1)
			}
		default:
			b[0]++
			b = append(b, 0xa1, "rdiqvnoagslbuxpjy"[r.IntN(17)], []byte{0xc0, 0x00, 0x01, 0xc2, 0xa0, 0x90, 0x80, 0xca}[r.IntN(8)])
		}
	}
	return b
}
