package exchange

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
)

// recorded returns the messages of a version by the names of their samples, as the build
// of that version sent them.
func recorded(t testing.TB, path string) map[string][]byte {
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	messages := make(map[string][]byte)
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		messages[name], err = hex.DecodeString(digits)
		must.NoError(t, err)
	}
	return messages
}

const (
	recorded1 = "testdata/version1.txt"
	recorded2 = "testdata/version2.txt"
)

// laterSamples returns the samples of version 2: those of version 1 whose encoding
// differs, and messages with what version 2 adds.
func laterSamples() []sample {
	var list []sample
	for _, s := range samples() {
		switch v := s.value.(type) {
		case membership.Heartbeat, query, registry.Update:
			list = append(list, s)
		case membership.Digest:
			s.value = v.WithFormat(membership.Format2).WithIncarnation(1 << 31)
			list = append(list, s)
		}
	}
	balancer := sampleHeartbeats()[0].value.(membership.Heartbeat)
	balancer.Placed, balancer.Lossy, balancer.Format = 250, true, membership.Format2
	sidecar := sampleHeartbeats()[3].value.(membership.Heartbeat)
	sidecar.Load.Work, sidecar.Load.Window, sidecar.Format = 520, 4, membership.Format2
	older := sampleHeartbeats()[4].value.(membership.Heartbeat)
	older.Format = membership.Format1
	d := membership.Digest{DataCentre: "semarang", Incarnation: 7, Format: membership.Format2}
	return append(list,
		sample{"heartbeat-balancer-placed", balancer},
		sample{"heartbeat-sidecar-work", sidecar},
		sample{"digest-details", d.WithReport(sampleHost(1), &balancer, 0).WithReport(sampleHost(2), &sidecar, 0).WithReport(sampleHost(3), &older, 0)},
		sample{"offer", membership.FormatOffer{Oldest: 1, Newest: 2, Incarnation: 1 << 31}},
	)
}

// TestRecord writes the messages of the newest version that this build sends to the file
// of the version, if CORIANDERBAY_RECORD_MESSAGES is set. A version is recorded once, by
// the build that introduces it.
func TestRecord(t *testing.T) {
	if os.Getenv("CORIANDERBAY_RECORD_MESSAGES") == "" {
		t.Skip("records messages only on demand")
	}
	var text strings.Builder
	for _, s := range laterSamples() {
		fmt.Fprintf(&text, "%s %x\n", s.name, encodeSample(t, s, membership.Format2))
	}
	must.NoError(t, os.WriteFile(recorded2, []byte(text.String()), 0o644))
}

// encodeSample returns the message that this build sends for a sample in a version.
func encodeSample(t testing.TB, s sample, f membership.Format) []byte {
	var raw []byte
	var err error
	switch v := s.value.(type) {
	case membership.Heartbeat:
		v.Format = f
		raw, err = encodeDatagram(&v, f)
	case membership.Digest:
		v = v.WithFormat(f)
		raw, err = encodeDatagram(&v, f)
	case membership.FormatOffer:
		raw, err = encodeDatagram(&v, f)
	case forwardSample:
		raw = append(AppendForward(nil, &v.header), v.packet...)
	case flowsSample:
		raw = appendFlows(nil, v)
	case steer.MissReport:
		raw = v.Append([]byte{byte(kindMissing)})
	default:
		var frame bytes.Buffer
		err = writeFrame(&frame, f, v)
		raw = frame.Bytes()
	}
	must.NoError(t, err)
	return raw
}

// decodeSample decodes a recorded message of a version to the type of a sample.
func decodeSample(t testing.TB, s sample, raw []byte, f membership.Format) any {
	body := raw[1:]
	switch s.value.(type) {
	case membership.Heartbeat:
		must.Eq(t, kindHeartbeat.withFormat(f), kind(raw[0]))
		var b membership.Heartbeat
		must.NoError(t, decodeMessage(body, &b, f))
		must.Eq(t, f, b.Format)
		return b
	case membership.Digest:
		must.Eq(t, kindDigest.withFormat(f), kind(raw[0]))
		var d membership.Digest
		must.NoError(t, decodeMessage(body, &d, f))
		return d
	case membership.FormatOffer:
		must.Eq(t, kindOffer2, kind(raw[0]))
		var o membership.FormatOffer
		must.NoError(t, decodeMessage(body, &o, f))
		return o
	case forwardSample:
		must.Eq(t, kindForward, kind(raw[0]))
		var v forwardSample
		rest, err := v.header.Parse(body)
		must.NoError(t, err)
		v.packet = string(rest)
		return v
	case flowsSample:
		must.Eq(t, kindFlows, kind(raw[0]))
		var keys flowsSample
		must.NoError(t, parseFlows(body, func(k steer.Key) { keys = append(keys, k) }))
		return keys
	case steer.MissReport:
		must.Eq(t, kindMissing, kind(raw[0]))
		m, err := steer.ParseMissReport(body)
		must.NoError(t, err)
		return m
	case query:
		var q query
		got, err := readFrame(bytes.NewReader(raw), f, &q)
		must.NoError(t, err)
		must.Eq(t, f, got)
		return q
	}
	u, err := readUpdate(bytes.NewReader(raw), f)
	must.NoError(t, err)
	return u
}

// normalized returns the value that the sample is decoded to in a version.
func normalized(s sample, f membership.Format) any {
	switch v := s.value.(type) {
	case membership.Heartbeat:
		return v.WithFormat(f)
	case membership.Digest:
		return v.WithFormat(f)
	}
	return s.value
}

// TestRecordedMessages guards against a change of the bytes of a version: the other half
// of the fleet could not read them during an upgrade. Each message that the build of the
// version sent must be decoded to its sample, and the sample be encoded to it.
func TestRecordedMessages(t *testing.T) {
	for _, c := range []struct {
		path    string
		format  membership.Format
		samples []sample
	}{
		{recorded1, membership.Format1, samples()},
		{recorded2, membership.Format2, laterSamples()},
	} {
		messages := recorded(t, c.path)
		must.MapLen(t, len(c.samples), messages)
		for _, s := range c.samples {
			t.Run(fmt.Sprint(s.name, c.format), func(t *testing.T) {
				raw := messages[s.name]
				must.Eq(t, hex.EncodeToString(raw), hex.EncodeToString(encodeSample(t, s, c.format)))
				must.Eq(t, normalized(s, c.format), decodeSample(t, s, raw, c.format))
			})
		}
	}
}

// TestVersionOneLacksLaterFields guards against new fields in messages of version 1:
// processes of commit 524ed58 reject messages with unknown fields.
func TestVersionOneLacksLaterFields(t *testing.T) {
	messages := recorded(t, recorded1)
	for i, s := range sampleHeartbeats() {
		b := s.value.(membership.Heartbeat)
		b.Load.Work, b.Load.Window, b.Placed, b.Lossy, b.Format = 400, 3, 9, true, membership.Format2
		raw, err := encodeDatagram(&b, membership.Format1)
		must.NoError(t, err)
		must.Eq(t, hex.EncodeToString(messages[s.name]), hex.EncodeToString(raw))
		later, err := encodeDatagram(&b, membership.Format2)
		must.NoError(t, err)
		var got membership.Heartbeat
		must.NoError(t, decodeMessage(later[1:], &got, membership.Format2))
		must.Eq(t, b, got)
		must.Error(t, decodeMessage(later[1:], &got, membership.Format1), must.Sprint("fields of version 2 in version 1"))

		d := membership.Digest{DataCentre: "a", Incarnation: 4, Format: membership.Format2}.WithReport(sampleHost(byte(i)), &b, 0)
		raw, err = encodeDatagram(&d, membership.Format1)
		must.NoError(t, err)
		plain := membership.Digest{DataCentre: "a"}
		old := s.value.(membership.Heartbeat)
		plain = plain.WithReport(sampleHost(byte(i)), &old, 0)
		want, err := wire.Encode(&plain)
		must.NoError(t, err)
		must.Eq(t, hex.EncodeToString(want), hex.EncodeToString(raw[1:]))
	}
}

// TestDigestOfVersionTwo checks that reports keep the version and the new fields of the
// reported processes, and that a digest whose details do not fit is rejected.
func TestDigestOfVersionTwo(t *testing.T) {
	later := membership.Heartbeat{
		Role: membership.Sidecar, DataCentre: "a", Incarnation: 1, Sequence: 1, Format: membership.Format2,
		Load: membership.Load{Work: 400, Window: 3}, Placed: 9, Lossy: true,
	}
	older := membership.Heartbeat{Role: membership.Sidecar, DataCentre: "b", Incarnation: 2, Format: membership.Format1}
	d := membership.Digest{DataCentre: "a", Incarnation: 4, Format: membership.Format2}
	d = d.WithReport(sampleHost(1), &later, 0).WithReport(sampleHost(2), &older, 0)
	raw, err := encodeDatagram(&d, membership.Format2)
	must.NoError(t, err)
	var got membership.Digest
	must.NoError(t, decodeMessage(raw[1:], &got, membership.Format2))
	must.Eq(t, later, got.Heartbeat(0))
	must.Eq(t, older, got.Heartbeat(1))
	must.Eq(t, 4, got.Incarnation)
	must.Error(t, decodeMessage(raw[1:], &membership.Digest{}, membership.Format1))
	for _, change := range []func(*membership.Digest){
		func(d *membership.Digest) { d.Details = d.Details[:1] },
		func(d *membership.Digest) { d.Details[1].Format = 0 },
		func(d *membership.Digest) { d.Details[1].Work = 5 },
		func(d *membership.Digest) { d.Details[0].Window = -1 },
	} {
		bad := got
		bad.Details = append([]membership.Detail(nil), got.Details...)
		change(&bad)
		must.Error(t, bad.Check())
	}
	// A relayed digest of version 1 has unknown details in version 2.
	relayed := got.WithFormat(membership.Format1).WithFormat(membership.Format2).WithIncarnation(5)
	must.NoError(t, relayed.Check())
	unknown := relayed.Heartbeat(0)
	must.Eq(t, membership.Format1, unknown.Format)
	must.Zero(t, unknown.Load.Work)
}

// TestVersionErrors checks the first bytes of datagrams and frames of unknown versions.
func TestVersionErrors(t *testing.T) {
	must.Eq(t, membership.Format1, kindHeartbeat.format())
	must.Eq(t, membership.Format2, kindHeartbeat2.format())
	must.Eq(t, kindDigest2, kindDigest.withFormat(membership.Format2))
	must.Eq(t, membership.Format(3), kind(0x31).format())
	var frame bytes.Buffer
	must.NoError(t, writeFrame(&frame, membership.Format2, query{Version: 4}))
	_, err := readFrame(&frame, membership.Format1, new(query))
	must.Eq(t, error(&VersionError{Have: membership.Format1, Got: membership.Format2}), err)
	must.StrContains(t, err.Error(), "version 2")
	_, err = readFrame(bytes.NewReader([]byte{2, 0xff, 0xff, 0xff}), membership.Format2, new(registry.Update))
	must.Eq(t, error(&FrameError{Length: 0xffffff}), err)
}
