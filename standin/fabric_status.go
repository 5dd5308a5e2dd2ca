package standin

import (
	"encoding/json"
	"net/http"
	"net/netip"
)

const maxBalancersBody = 1 << 20 // bytes

func (f *Fabric) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Stats()) })
	mux.HandleFunc("GET /balancers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Balancers()) })
	mux.HandleFunc("PUT /balancers", f.putBalancers)
	return &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout}
}

// putBalancers replaces the balancers with a JSON list of addresses and ports.
func (f *Fabric) putBalancers(w http.ResponseWriter, r *http.Request) {
	var balancers []netip.AddrPort
	body := http.MaxBytesReader(w, r.Body, maxBalancersBody)
	if err := json.NewDecoder(body).Decode(&balancers); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetBalancers(balancers)
}
