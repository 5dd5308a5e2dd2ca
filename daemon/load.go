package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/corianderbay/corianderbay/platform/standin"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/sourcegraph/conc"
)

const (
	loadService = "fitting"
	// defaultLoadNetwork is the default of the second octet of all addresses.
	defaultLoadNetwork = 90
	loadCallers        = 2
)

// loadRoute is the address to which the callers open flows.
var loadRoute = netip.MustParseAddrPort("198.18.0.1:8443")

// newLoadProgram returns a command that stands in for the users' platform and
// its upstreams, and generates the load of callers. It prints the commands of the
// balancers and sidecars, which have to be started separately.
func newLoadProgram() program {
	s := setting.NewSet()
	directory := s.String("directory", "", "existing folder for the settings files of the processes")
	network := s.Int("network", defaultLoadNetwork, 2, 254, "", "second octet of all addresses, 127.N.x.y")
	centres := s.Int("datacentres", 1, 1, 9, "", "data centres over which hosts are distributed round robin")
	balancers := s.Int("balancers", 2, 1, 99, "", "number of balancers to be started")
	upstreams := s.Int("upstreams", 4, 1, 200, "", "number of upstreams, each with a sidecar to be started")
	slots := s.Int("slots", 2, 0, 1000, "requests", "requests that an upstream processes concurrently; 0 means no limit")
	work := s.Duration("work", 10*time.Millisecond, 0, time.Minute, "service time of a request at its upstream")
	rate := s.Float("rate", 200, 1, 100_000, "requests/s", "requests started per second")
	perFlow := s.Int("per-flow", 10, 1, 1_000_000, "requests", "number of requests per flow")
	deadline := s.Duration("deadline", 250*time.Millisecond, time.Millisecond, time.Minute, "maximum time from request to answer for an answer in time")
	duration := s.Duration("duration", 10*time.Second, time.Millisecond, 24*time.Hour, "how long requests are started")
	wait := s.Duration("wait", time.Minute, time.Second, time.Hour, "maximum time until the processes are ready")
	idempotent := s.Bool("idempotent", false, "whether a request may be executed more than once")
	seed := s.Int("seed", 1, 0, 1<<30, "", "seed of all random numbers")
	s.Require("directory")
	return program{
		name:    "load",
		group:   groupPlatform,
		short:   "Stand in for the users' platform and generate the load of callers; prints the outcome of the requests as JSON",
		example: "corianderbay platform load --directory settings --rate 500",
		set:     s,
		run: func(ctx context.Context, w io.Writer) error {
			d, err := standin.NewDeployment(standin.DeploymentConfig{
				Network:     byte(*network),
				Directory:   *directory,
				DataCentres: *centres,
				Balancers:   *balancers,
				Upstreams:   *upstreams,
				Callers:     loadCallers,
				Service:     loadService,
				Slots:       *slots,
				ServiceTime: *work,
				Seed:        uint64(*seed),
			})
			if err != nil {
				return err
			}
			defer d.Close()
			d.PublishRoutes(1, standin.Route{Address: loadRoute, Service: loadService, Idempotent: *idempotent})
			l := standin.NewLoadGenerator(d, standin.LoadConfig{
				Route:           loadRoute,
				Idempotent:      *idempotent,
				Rate:            *rate,
				RequestsPerFlow: *perFlow,
				Deadline:        *deadline,
				Duration:        *duration,
				Seed:            uint64(*seed),
			})
			return runLoad(ctx, w, d, l, *wait)
		},
	}
}

// runLoad prints the commands of the processes to start, waits until they are
// ready and runs the load. It returns a *NotReadyError, or a *ViolationError if
// the load generator found a violation.
func runLoad(ctx context.Context, w io.Writer, d *standin.Deployment, l *standin.LoadGenerator, wait time.Duration) error {
	for _, p := range d.Processes() {
		fmt.Fprintf(os.Stderr, "start: %s corianderbay platform %s\n", p.Env, p.Role)
	}
	ctx, end := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { d.Run(ctx) })
	ready, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := d.AwaitReady(ready); err != nil {
		return &NotReadyError{Wait: wait, Cause: err}
	}
	r := l.Run(ctx)
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return &ViolationError{}
	}
	return nil
}
