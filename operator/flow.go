package operator

import (
	"net/http"
	"net/netip"

	"github.com/corianderbay/corianderbay/flow"
)

// Path and query parameters of FlowHandler.
const (
	FlowPath      = "/flow"
	paramProtocol = "protocol"
	paramCaller   = "caller"
	paramAddress  = "address"
)

// FlowAnswer is the state of a flow in one process.
type FlowAnswer struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	// Version is the sequence number of the active bundle, 0 before the first.
	Version uint64 `json:"version"`
	// Owned is true at the sidecar whose upstream owns the flow.
	Owned bool `json:"owned"`
	// Owner is the name of the upstream that owns the flow, or that a sidecar last passed
	// the flow to, as recorded by the process. It is empty if none is recorded.
	Owner string `json:"owner"`
}

// FlowQuery returns the path and query of a request for the state of a flow.
func FlowQuery(k flow.Key) string {
	return FlowPath + "?" + paramProtocol + "=" + k.Protocol().String() +
		"&" + paramCaller + "=" + k.Caller().String() +
		"&" + paramAddress + "=" + k.Address().String()
}

// FlowHandler returns a handler for FlowPath that responds with the result of lookup as JSON.
// It responds with status 400 if the query does not describe a flow.
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

// ParseKey parses the key of a flow. It returns a *FlowKeyError if a part is invalid.
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
