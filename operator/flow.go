package operator

import (
	"net/http"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
)

// The query parameters of FlowPath.
const (
	FlowPath      = "/flow"
	paramProtocol = "protocol"
	paramCaller   = "caller"
	paramAddress  = "address"
)

// FlowAnswer is what one process knows of a flow.
type FlowAnswer struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	// Version is the sequence of the bundle in force, 0 before the first.
	Version uint64 `json:"version"`
	// Owned is true at the sidecar whose upstream has the flow.
	Owned bool `json:"owned"`
	// Owner is the upstream that the process would ask first, empty when it remembers none.
	Owner string `json:"owner"`
}

// FlowQuery returns the query that asks for a flow.
func FlowQuery(k flow.Key) string {
	return FlowPath + "?" + paramProtocol + "=" + k.Protocol().String() +
		"&" + paramCaller + "=" + k.Caller().String() +
		"&" + paramAddress + "=" + k.Address().String()
}

// FlowHandler answers FlowPath with what lookup returns.
func FlowHandler(lookup func(flow.Key) FlowAnswer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		k, err := ParseKey(q.Get(paramProtocol), q.Get(paramCaller), q.Get(paramAddress))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, lookup(k))
	})
}

// ParseKey returns the key of a flow from text. It reports *FlowKeyError.
func ParseKey(protocol, caller, address string) (flow.Key, error) {
	p, err := parseProtocol(protocol)
	if err != nil {
		return flow.Key{}, err
	}
	from, err := netip.ParseAddrPort(caller)
	if err != nil {
		return flow.Key{}, &FlowKeyError{Field: paramCaller, Value: caller}
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return flow.Key{}, &FlowKeyError{Field: paramAddress, Value: address}
	}
	return flow.NewKey(p, from, to), nil
}

func parseProtocol(text string) (flow.Protocol, error) {
	for _, p := range []flow.Protocol{flow.TCP, flow.UDP} {
		if text == p.String() {
			return p, nil
		}
	}
	return 0, &FlowKeyError{Field: paramProtocol, Value: text}
}
