package bundle

import (
	"math"
	"strconv"
	"time"
)

// Field describes one field of an authored bundle for readers and for Check.
type Field struct {
	// Path is the place in the document, with [] for each list.
	Path string
	// Kind is what the field holds, as in "a whole number".
	Kind string
	// Default says what an absent field selects. Empty for a field that must be set or selects nothing.
	Default string
	// Unit is the unit of a number. Empty for others.
	Unit string
	// Min and Max bound numbers and durations, in nanoseconds for the latter. Both 0 set no bound.
	Min, Max float64
	// Exclusive is true when Min and Max are themselves out of range.
	Exclusive bool
	// AllowZero is true when zero is allowed besides Min to Max.
	AllowZero bool
	Help      string
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

// Fields returns the declarations of all fields that hold a value, in the order of the document.
func Fields() []Field {
	return []Field{
		{Path: "sequence", Kind: wholeNumber, Min: 1, Max: math.MaxInt64, Help: "Orders versions; the higher one wins."},
		needField(),
		{Path: "signoff.approvers[].name", Kind: nameValue, Help: "Unique among approvers."},
		{Path: "signoff.approvers[].key", Kind: textValue, Help: "The ed25519 public key in standard base64, as corianderctl key new prints it."},
		{Path: "datacentres[].name", Kind: nameValue, Help: "Unique among data centres."},
		{Path: "datacentres[].region", Kind: nameValue, Default: "a region of its own", Help: "Groups data centres."},
		{Path: "datacentres[].callers[]", Kind: prefixValue, Help: "Callers that are nearest to this data centre. No prefix stands in two data centres."},
		{Path: "datacentres[].near[]", Kind: nameValue, Default: "name order", Help: "The other data centres, nearest first."},
		{Path: "services[].name", Kind: nameValue, Help: "Unique among services. A service keeps its name for life."},
		{Path: "services[].addresses[].ip", Kind: addressValue, Help: "Where callers reach the service."},
		{Path: "services[].addresses[].port", Kind: wholeNumber, Min: 1, Max: maxPort, Help: "The port of the address. No two services hold one address, port and protocol."},
		{Path: "services[].addresses[].protocol", Kind: "tcp or udp", Help: "The protocol of the address."},
		{Path: "services[].addresses[].former", Kind: nameValue, Default: "none", Help: "The service that held the address before; its flows stay findable until they end."},
		{Path: "services[].idempotent", Kind: boolValue, Default: "false", Help: "True when a request may run more than once without harm."},
		{Path: "services[].repeat", Kind: durationValue, Default: defaultRepeat.String(), Max: float64(5 * time.Minute), Help: "How long after its first transmission a caller may still repeat a request."},
		{Path: "services[].idle", Kind: durationValue, Default: defaultIdle.String(), Min: float64(time.Second), Max: float64(24 * time.Hour), AllowZero: true, Help: "How long a flow without packets is kept."},
		{Path: "services[].rules[].callers", Kind: prefixValue, Help: "The longest matching prefix wins. A caller that no rule matches is denied."},
		{Path: "services[].rules[].allow", Kind: boolValue, Default: "false", Help: "Whether the callers of the prefix may reach the service."},
		{Path: "services[].limit.rate", Kind: decimalNumber, Default: "no limit", Unit: "new flows/s", Max: maxFlowRate, Help: "New flows over the whole fleet."},
		{Path: "services[].limit.prefix", Kind: decimalNumber, Default: "no limit", Unit: "new flows/s", Max: maxFlowRate, Help: "New flows for each caller prefix."},
		{Path: "services[].limit.bits", Kind: wholeNumber, Default: strconv.Itoa(defaultBits), Unit: "bits", Max: maxBits, Help: "Length of an IPv4 caller prefix that shares one limit."},
		{Path: "services[].objectives[].name", Kind: nameValue, Help: "Unique among the objectives of the service."},
		{Path: "services[].objectives[].measure", Kind: "flows, answers or latency", Help: "Flows not broken, whole answers, or answers within a bound."},
		{Path: "services[].objectives[].target", Kind: decimalNumber, Max: 1, Exclusive: true, Help: "The share that must be good."},
		{Path: "services[].objectives[].within", Kind: durationValue, Default: "none", Min: float64(time.Millisecond), Max: float64(time.Hour), AllowZero: true, Help: "The bound of a latency objective; only those have one."},
		{Path: "services[].places[].datacentre", Kind: nameValue, Help: "Names a data centre of the bundle, once a service."},
		{Path: "services[].places[].upstreams[].name", Kind: nameValue, Help: "Unique over the whole bundle."},
		{Path: "services[].places[].upstreams[].sidecar", Kind: addrPortValue, Help: "Where the sidecar beside the upstream receives. No two upstreams share one."},
		{Path: "services[].places[].upstreams[].weight", Kind: wholeNumber, Default: strconv.Itoa(defaultWeight), Min: 1, Max: maxWeight, AllowZero: true, Help: "The share of new flows."},
		{Path: "services[].places[].upstreams[].slots", Kind: wholeNumber, Default: strconv.Itoa(defaultSlots), Unit: "requests", Min: 1, Max: maxSlots, AllowZero: true, Help: "How many requests the upstream runs at once."},
		{Path: "services[].places[].upstreams[].connections", Kind: wholeNumber, Default: strconv.Itoa(defaultConnections), Unit: "flows", Min: 1, Max: maxConnections, AllowZero: true, Help: "How many flows the upstream holds at most."},
		{Path: "services[].places[].upstreams[].leaving", Kind: boolValue, Default: "false", Help: "True for an upstream that keeps its flows and gets no new ones."},
	}
}

func needField() Field {
	return Field{Path: "signoff.need", Kind: wholeNumber, Unit: "approvers", Min: 1, Max: MaxApprovers, Help: "How many approvers must sign the next bundle, at most as many as there are."}
}

// Bounded returns true when the field has a range.
func (f Field) Bounded() bool {
	return f.Min != 0 || f.Max != 0
}

// Contains returns true when v is in the range of the field. NaN is in no range.
func (f Field) Contains(v float64) bool {
	if f.AllowZero && v == 0 {
		return true
	}
	if f.Exclusive {
		return v > f.Min && v < f.Max
	}
	return v >= f.Min && v <= f.Max
}

// Range returns the range as text, as in "1 to 1000". Empty for a field without one.
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
