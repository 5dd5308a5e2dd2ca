package bundle_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func validText(t *testing.T) string {
	text, err := os.ReadFile("testdata/valid.yaml")
	must.NoError(t, err)
	return string(text)
}

func TestParseValid(t *testing.T) {
	b, err := bundle.Parse("valid.yaml", []byte(validText(t)))
	must.NoError(t, err)
	must.Eq(t, uint64(7), b.Sequence)
	must.Eq(t, 10*time.Minute, b.Services[0].Idle)
	must.Eq(t, "10.9.0.3:4789", b.Services[1].Places[0].Upstreams[0].Sidecar.String())
	must.Eq(t, 50.5, b.Services[0].Limit.Prefix)
}

// TestParseFaults changes one line of the valid bundle at a time and checks the
// type, line and path of the fault.
func TestParseFaults(t *testing.T) {
	tests := []struct {
		old, new string
		want     string // type of the fault
		at       string // path of the fault
	}{
		{"idle: 10m", "idel: 10m", "*bundle.UnknownFieldError", "services[0].idel: "},
		{"idle: 10m", "repeat: 10m", "*bundle.DuplicateFieldError", ""},
		{"sequence: 7", "sequence: 7 8: 9", "*bundle.SyntaxError", ""},
		{"sequence: 7", "sequence: many", "*bundle.TypeError", "sequence: "},
		{"sequence: 7", "sequence: 0", "*bundle.RangeError", "sequence: "},
		{"sequence: 7", "sequence: -1", "*bundle.RangeError", "sequence: "},
		{"idle: 10m", "idle: 10 min", "*bundle.TypeError", "services[0].idle: "},
		{"idle: 10m", "idle: 25h", "*bundle.RangeError", "services[0].idle: "},
		{"need: 1", "need: 3", "*bundle.RangeError", "signoff.need: "},
		{"name: budi", "name: sari", "*bundle.DuplicateError", "signoff.approvers[1].name: "},
		{"iojj3", "xiojj3", "*bundle.KeyError", "signoff.approvers[1].key: "},
		{"10.2.0.0/16", "10.1.0.0/16", "*bundle.DuplicatePrefixError", "datacentres[1].callers[0]: "},
		{"10.2.0.0/16", "10.2.0.0/33", "*bundle.TypeError", "datacentres[1].callers[0]: "},
		{"10.2.0.0/16", "10.2.0.1/16", "*bundle.HostBitsError", "datacentres[1].callers[0]: "},
		{"near: [solo]", "near: [semarang]", "*bundle.SelfReferenceError", "datacentres[0].near[0]: "},
		{"near: [solo]", "near: [bali]", "*bundle.UnknownDataCentreError", "datacentres[0].near[0]: "},
		{"name: report\n", "name: re port\n", "*bundle.NameError", "services[1].name: "},
		{"port: 443", "port: 70000", "*bundle.RangeError", "services[1].addresses[0].port: "},
		{"protocol: tcp", "protocol: sctp", "*bundle.ChoiceError", "services[1].addresses[0].protocol: "},
		{"100.2, port: 443, protocol: tcp", "100.1, port: 7000, protocol: udp", "*bundle.DuplicateAddressError", "services[1].addresses[0]: "},
		{"former: fitting", "former: report", "*bundle.SelfReferenceError", "services[1].addresses[0].former: "},
		{"former: fitting", "former: shop", "*bundle.UnknownServiceError", "services[1].addresses[0].former: "},
		{"weight: 100", "weight: 1001", "*bundle.RangeError", "services[0].places[0].upstreams[0].weight: "},
		{"target: 0.999", "target: 1.0", "*bundle.RangeError", "services[0].objectives[0].target: "},
		{"target: 0.999", "target: .nan", "*bundle.TypeError", "services[0].objectives[0].target: "},
		{", within: 50ms", "", "*bundle.MissingError", "services[0].objectives[1].within: "},
		{"name: fitting-2", "name: fitting-1", "*bundle.DuplicateError", "services[0].places[0].upstreams[1].name: "},
		{"10.9.0.3:4789", "10.9.0.1:4789", "*bundle.DuplicateSidecarError", "services[1].places[0].upstreams[0].sidecar: "},
		{"10.9.0.3:4789", "0.0.0.0:4789", "*bundle.AddressError", "services[1].places[0].upstreams[0].sidecar: "},
		{"ip: 198.51.100.2", "ip: \"fe80::1%eth0\"", "*bundle.AddressError", "services[1].addresses[0].ip: "},
		{"ip: 198.51.100.2", "ip: \"::ffff:198.51.100.2\"", "*bundle.AddressError", "services[1].addresses[0].ip: "},
		{"10.2.0.0/16", "\"::ffff:10.2.0.0/112\"", "*bundle.AddressError", "datacentres[1].callers[0]: "},
		{"datacentre: solo", "datacentre: bali", "*bundle.UnknownDataCentreError", "services[1].places[0].datacentre: "},
		{"name: report\n", "name: fitting\n", "*bundle.DuplicateError", "services[1].name: "},
		{"repeat: 10s", "repeat: &x 10s", "*bundle.TypeError", "services[0].repeat: "},
	}
	valid := validText(t)
	for _, tt := range tests {
		t.Run(tt.new, func(t *testing.T) {
			must.StrContains(t, valid, tt.old)
			_, err := bundle.Parse("b.yaml", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			var faults *bundle.FaultsError
			must.True(t, errors.As(err, &faults))
			got := fmt.Sprintf("%T", faults.Faults[0])
			must.Eq(t, tt.want, got, must.Sprint(err))
			line := 1 + strings.Count(valid[:strings.Index(valid, tt.old)], "\n")
			must.StrHasPrefix(t, fmt.Sprintf("b.yaml:%d: %s", line, tt.at), faults.Faults[0].Error())
		})
	}
}

func TestParseReportsActualType(t *testing.T) {
	_, err := bundle.Parse("b.yaml", []byte("- 1\n"))
	must.EqError(t, err, "b.yaml:1: a list is not a mapping")
	text := strings.Replace(validText(t), "near: [solo]", "near: {solo: 1}", 1)
	_, err = bundle.Parse("b.yaml", []byte(text))
	must.EqError(t, err, "b.yaml:10: datacentres[0].near: a mapping is not a list")
}

func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer("weight: 100", "weight: 0x", "port: 443", "port: 0", "need: 1", "needs: 1").Replace(validText(t))
	_, err := bundle.Parse("b.yaml", []byte(text))
	var faults *bundle.FaultsError
	must.True(t, errors.As(err, &faults))
	must.Len(t, 4, faults.Faults, must.Sprint(err))
	var unknown *bundle.UnknownFieldError
	must.True(t, errors.As(err, &unknown))
	var typed *bundle.TypeError
	must.True(t, errors.As(err, &typed))
}

// TestCheckReportsIDCollisions checks two names that hash to the same ID.
func TestCheckReportsIDCollisions(t *testing.T) {
	first, second := collidingNames()
	b := sample(1, 2)
	b.Services[0].Places[0].Upstreams[0].Name = first
	b.Services[1].Places[0].Upstreams[0].Name = second
	var collision *bundle.CollisionError
	must.True(t, errors.As(bundle.Check(b), &collision))
	must.Eq(t, first, collision.First)
}

func collidingNames() (string, string) {
	seen := make(map[bundle.UpstreamID]string)
	for i := 0; ; i++ {
		name := fmt.Sprintf("u%d", i)
		if first, ok := seen[bundle.UpstreamIDOf(name)]; ok {
			return first, name
		}
		seen[bundle.UpstreamIDOf(name)] = name
	}
}

func TestCheckLimitsUpstreamCount(t *testing.T) {
	b := sample(1, 1)
	up := &b.Services[0].Places[0].Upstreams
	for i := range bundle.MaxUpstreams {
		u := sampleService(100 + i).Places[0].Upstreams[0]
		*up = append(*up, u)
	}
	var count *bundle.CountError
	must.True(t, errors.As(bundle.Check(b), &count))
	must.Eq(t, bundle.MaxUpstreams+2, count.Count)
}

func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBundle(t)
		text, err := b.Text()
		must.NoError(t, err)
		got, err := bundle.Parse("text.yaml", text)
		must.NoError(t, err, must.Sprint(string(text)))
		must.Eq(t, b, got)
	})
}
