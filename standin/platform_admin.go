package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
)

// AdminHandler returns the HTTP handler that operators and trials write to:
//
//	PUT  /admin/values/NAME        the body becomes the value
//	PUT  /admin/publications/NAME  the body, a frozen bundle, is split into values, with its head as NAME
//	PUT  /admin/instances          a JSON array of instances becomes the list
//	POST /admin/fault?reader=NAME  a JSON PlatformFault; without reader it applies to readers without their own
//	GET  /admin/counts             PlatformCounts as JSON
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/values/{name}", p.putValue)
	mux.HandleFunc("PUT /admin/publications/{name}", p.putPublication)
	mux.HandleFunc("PUT /admin/instances", p.putInstances)
	mux.HandleFunc("POST /admin/fault", p.postFault)
	mux.HandleFunc("GET /admin/counts", p.getCounts)
	return mux
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, configservice.MaxValueSize)
	if !ok {
		return
	}
	p.SetValue(r.PathValue("name"), body)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putPublication(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, bundle.MaxFrozen)
	if !ok {
		return
	}
	f, err := bundle.Unmarshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pub, err := configservice.NewPublication(r.PathValue("name"), f)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(pub)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []configservice.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, i := range list {
		if err := i.Check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	p.SetInstances(list)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var f PlatformFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(r.URL.Query().Get("reader"), f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Counts())
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}
