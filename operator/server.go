// Package operator implements the HTTP server that exposes the health, status and
// counters of a process to its operators: /health, /status and /debug/vars (expvar),
// on a separate address.
//
// Open binds the address of a Server and Server.Run serves requests.
package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Config holds the settings of a Server. Listen, Status and Log are required.
type Config struct {
	// Listen is the operator address; port 0 selects a free port.
	Listen netip.AddrPort
	// Status returns the status that /status serves as JSON. It may be called concurrently.
	Status func() Status
	// Vars are served at /debug/vars. If nil, an empty object is served.
	Vars *expvar.Map
	// Handlers are the handlers of further paths, by http.ServeMux pattern.
	Handlers map[string]http.Handler
	Log      *event.Logger
}

// Status is the body of /status.
type Status struct {
	Process string `json:"process"`
	// Role is "balancer" or "sidecar".
	Role string `json:"role"`
	// Version is the sequence number of the active bundle, 0 before the first.
	Version uint64 `json:"version"`
	// Hash is the hexadecimal hash of the active bundle's manifest.
	Hash string `json:"hash"`
	// Uptime is the time since the process started, in seconds.
	Uptime float64 `json:"uptime"`
	// Flows is the number of open flows that the upstream of a sidecar owns. It is 0 for a
	// balancer.
	Flows int `json:"flows"`
	// Ready is true if the process can serve: a bundle is active and, for a sidecar, each
	// other sidecar of its service has received the bundle that added it or is silent, so
	// that it accepts new flows.
	Ready bool `json:"ready"`
	// Draining is true while the process is stopping.
	Draining bool `json:"draining"`
	// Addresses holds the addresses at which the process listens, by use.
	Addresses map[string]netip.AddrPort `json:"addresses"`
	// Detail holds role-specific counters.
	Detail any `json:"detail"`
}

// Server serves HTTP on the operator address.
type Server struct {
	cfg      Config
	listener net.Listener
}

// Open binds the operator address. It returns a *ListenError if the address cannot be bound.
func Open(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, &ListenError{Address: cfg.Listen, Cause: err}
	}
	return &Server{cfg: cfg, listener: l}, nil
}

// Address returns the address that the server is bound to.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves requests until ctx is done, and then waits up to 2 seconds for active requests.
func (s *Server) Run(ctx context.Context) {
	h := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { _ = h.Serve(s.listener) })
	s.cfg.Log.Emit(event.OperatorListening, zap.Stringer("address", s.Address()))
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := h.Shutdown(stop); err != nil {
		h.Close()
	}
	wg.Wait()
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /debug/vars", s.vars)
	for path, h := range s.cfg.Handlers {
		mux.Handle(path, h)
	}
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := s.cfg.Status()
	if !status.Ready || status.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, Health{Ready: status.Ready, Draining: status.Draining})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.cfg.Status())
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if s.cfg.Vars == nil {
		_, _ = w.Write([]byte("{}"))
		return
	}
	_, _ = w.Write([]byte(s.cfg.Vars.String()))
}

// Health is the body of /health. The response has status 503 unless the process is
// ready and not draining.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(v)
}
