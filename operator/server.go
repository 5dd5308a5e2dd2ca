// Package operator is what a process tells the people on call over HTTP:
// /health, /status and /debug/vars (expvar), on an address of its own.
//
// Start with Open and Server.Run.
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
	// Listen is the operator address; port 0 takes a free one.
	Listen netip.AddrPort
	// Status returns what /status shows, as JSON. It is called from several goroutines.
	Status func() Status
	// Vars are shown at /debug/vars. Nil shows none.
	Vars *expvar.Map
	// Handlers are further paths.
	Handlers map[string]http.Handler
	Log      *event.Logger
}

// Status is what a process says of itself.
type Status struct {
	Process string `json:"process"`
	// Role is "balancer", "sidecar" or "standin".
	Role string `json:"role"`
	// Version is the sequence of the bundle in force, 0 before the first.
	Version uint64 `json:"version"`
	// Hash is the hash of that bundle's manifest in hexadecimal.
	Hash string `json:"hash"`
	// Uptime is in seconds.
	Uptime float64 `json:"uptime"`
	// Flows is how many flows the process owns.
	Flows int `json:"flows"`
	// Ready is true when the process does its work: a bundle is in force, and the other
	// sidecars of a sidecar's service know of it, so that it takes new flows.
	Ready bool `json:"ready"`
	// Draining is true when the process is stopping.
	Draining bool `json:"draining"`
	// Addresses are where the process listens, by use.
	Addresses map[string]netip.AddrPort `json:"addresses"`
	// Detail holds the counts of the role.
	Detail any `json:"detail"`
}

// Server answers on the operator address.
type Server struct {
	cfg      Config
	listener net.Listener
}

// Open binds the operator address. It reports *ListenError when it cannot.
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

// Run answers until ctx is done.
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

// Health is what /health answers.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(v)
}
