package exchange

import (
	"bytes"
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
		}
		u, err := readUpdate(bytes.NewReader(raw), membership.Format2)
		if err == nil {
			registry.NewDirectory().Apply(0, u)
		}
	})
}
