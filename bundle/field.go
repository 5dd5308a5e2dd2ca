package bundle

import (
	"math"
	"strconv"
	"time"
)

// Field describes one field of an authored bundle for the documentation and for
// Check.
type Field struct {
	// Path is the path in the document, with [] for each list.
	Path string
	// Kind is the kind of value, such as "a whole number".
	Kind string
	// Default is the value that an absent field selects. It is empty for a
	// required field and for one without a default.
	Default string
	// Unit is the unit of a number, empty for others.
	Unit string
	// Min and Max are the range of a number, or of a duration in nanoseconds.
	// There is no range when both are 0.
	Min, Max float64
	// Exclusive is true when Min and Max themselves are out of range.
	Exclusive bool
	// AllowZero is true when zero is allowed in addition to Min to Max.
	AllowZero bool
	// Help is the description for operators.
	Help string
}

const (
	wholeNumber    = "a whole number"
	decimalNumber  = "a number"
	durationValue  = "a duration like 10s"
	nameValue      = "a name"
	prefixValue    = "a prefix like 10.0.0.0/8"
	addressValue   = "an IP address"
	addrPortValue  = "an address and port like 10.0.0.1:4789"
	boolValue      = "true or false"
	textValue      = "a string"
	listValue      = "a list"
	mappingValue   = "a mapping"
	maxFlowRate    = 1_000_000
	maxPort        = math.MaxUint16
	maxWeight      = 1000
	maxSlots       = 100_000
	maxConnections = 10_000_000
	maxBits        = 32
)

// Fields returns the declarations of all fields that hold a single value, in the
// order of the document.
func Fields() []Field {
	return []Field{
		{Path: "sequence", Kind: wholeNumber, Min: 1, Max: math.MaxInt64, Help: "The version of the bundle. The bundle with the highest sequence is in force."},
		needField(),
		{Path: "signoff.approvers[].name", Kind: nameValue, Help: "The name of the approver, unique among approvers."},
		{Path: "signoff.approvers[].key", Kind: textValue, Help: "The ed25519 public key in standard base64, as corianderctl key new prints it."},
		{Path: "datacentres[].name", Kind: nameValue, Help: "The name of the data centre, unique among data centres."},
		{Path: "datacentres[].region", Kind: nameValue, Default: "a region of its own", Help: "The region, which groups data centres."},
		{Path: "datacentres[].callers[]", Kind: prefixValue, Help: "Prefixes of the callers that are nearest to this data centre. No two data centres list the same prefix."},
		{Path: "datacentres[].near[]", Kind: nameValue, Default: "name order", Help: "The other data centres, nearest first."},
		{Path: "services[].name", Kind: nameValue, Help: "The name of the service, unique among services. It must not change, because it identifies the service."},
		{Path: "services[].addresses[].ip", Kind: addressValue, Help: "The IP address at which callers reach the service."},
		{Path: "services[].addresses[].port", Kind: wholeNumber, Min: 1, Max: maxPort, Help: "The port of the address. No two services share an address, port and protocol."},
		{Path: "services[].addresses[].protocol", Kind: "tcp or udp", Help: "The protocol of the address."},
		{Path: "services[].addresses[].former", Kind: nameValue, Default: "none", Help: "The service that had the address before. Its flows are still routed until they end."},
		{Path: "services[].idempotent", Kind: boolValue, Default: "false", Help: "True when a request may safely run more than once."},
		{Path: "services[].repeat", Kind: durationValue, Default: defaultRepeat.String(), Max: float64(5 * time.Minute), Help: "The time after the first transmission of a request in which a caller may retransmit it."},
		{Path: "services[].idle", Kind: durationValue, Default: defaultIdle.String(), Min: float64(time.Second), Max: float64(24 * time.Hour), AllowZero: true, Help: "The time after which a flow without packets is removed."},
		{Path: "services[].rules[].callers", Kind: prefixValue, Help: "The caller prefix of the rule. The rule with the longest matching prefix applies. A caller that matches no rule is denied."},
		{Path: "services[].rules[].allow", Kind: boolValue, Default: "false", Help: "Whether the callers of the prefix may reach the service."},
		{Path: "services[].limit.rate", Kind: decimalNumber, Default: "no limit", Unit: "new flows/s", Max: maxFlowRate, Help: "The limit of new flows for the whole fleet."},
		{Path: "services[].limit.prefix", Kind: decimalNumber, Default: "no limit", Unit: "new flows/s", Max: maxFlowRate, Help: "The limit of new flows for each caller prefix."},
		{Path: "services[].limit.bits", Kind: wholeNumber, Default: strconv.Itoa(defaultBits), Unit: "bits", Max: maxBits, Help: "The length of the IPv4 caller prefixes that share one limit."},
		{Path: "services[].objectives[].name", Kind: nameValue, Help: "The name of the objective, unique among the objectives of the service."},
		{Path: "services[].objectives[].measure", Kind: "flows, answers or latency", Help: "What is measured: flows that are not broken, complete answers, or answers within the time limit."},
		{Path: "services[].objectives[].target", Kind: decimalNumber, Max: 1, Exclusive: true, Help: "The required fraction of good events."},
		{Path: "services[].objectives[].within", Kind: durationValue, Default: "none", Min: float64(time.Millisecond), Max: float64(time.Hour), AllowZero: true, Help: "The time limit of a latency objective. It is not set for other measures."},
		{Path: "services[].places[].datacentre", Kind: nameValue, Help: "The name of a data centre of the bundle, unique among the places of the service."},
		{Path: "services[].places[].upstreams[].name", Kind: nameValue, Help: "The name of the upstream, unique in the whole bundle."},
		{Path: "services[].places[].upstreams[].sidecar", Kind: addrPortValue, Help: "The address at which the upstream's sidecar receives packets. No two upstreams share it."},
		{Path: "services[].places[].upstreams[].weight", Kind: wholeNumber, Default: strconv.Itoa(defaultWeight), Min: 1, Max: maxWeight, AllowZero: true, Help: "The relative share of new flows."},
		{Path: "services[].places[].upstreams[].slots", Kind: wholeNumber, Default: strconv.Itoa(defaultSlots), Unit: "requests", Min: 1, Max: maxSlots, AllowZero: true, Help: "The number of requests that the upstream runs concurrently."},
		{Path: "services[].places[].upstreams[].connections", Kind: wholeNumber, Default: strconv.Itoa(defaultConnections), Unit: "flows", Min: 1, Max: maxConnections, AllowZero: true, Help: "The maximum number of flows of the upstream."},
		{Path: "services[].places[].upstreams[].leaving", Kind: boolValue, Default: "false", Help: "True for a draining upstream, which keeps its flows and receives no new ones."},
	}
}

func needField() Field {
	return Field{Path: "signoff.need", Kind: wholeNumber, Unit: "approvers", Min: 1, Max: MaxApprovers, Help: "The number of approvers that must sign the next bundle, at most the number of approvers."}
}

// Bounded reports whether the field has a range.
func (f Field) Bounded() bool {
	return f.Min != 0 || f.Max != 0
}

// Contains reports whether v is in the range of the field. NaN is in no range.
func (f Field) Contains(v float64) bool {
	if f.AllowZero && v == 0 {
		return true
	}
	if f.Exclusive {
		return v > f.Min && v < f.Max
	}
	return v >= f.Min && v <= f.Max
}

// Range returns the range as text, such as "1 to 1000". It is empty for a field
// without a range.
func (f Field) Range() string {
	if !f.Bounded() {
		return ""
	}
	text := f.format(f.Min) + " to " + f.format(f.Max)
	if f.Exclusive {
		text = "above " + f.format(f.Min) + " and below " + f.format(f.Max)
	}
	return text
}

func (f Field) format(v float64) string {
	if f.Kind == durationValue {
		return time.Duration(v).String()
	}
	if v >= math.MaxInt64 {
		return strconv.FormatInt(math.MaxInt64, 10)
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}
