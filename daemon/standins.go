package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/sourcegraph/conc"
)

const (
	maxStandinDelay = time.Minute
	headerTimeout   = 5 * time.Second
	maxCallerCount  = 1_000_000
)

func newPlatformStandinProgram() program {
	s := setting.NewSet()
	listen := s.Address("listen-address", "127.0.0.1:8500", "address where processes of the system read and watch")
	admin := s.Address("admin-address", "127.0.0.1:8501", "address where trials publish and set faults")
	return program{
		name:    "platform",
		short:   "Stand in for the configuration service and the instance list",
		example: "corianderbay standin platform --listen-address 127.0.0.1:8500 --admin-address 127.0.0.1:8501",
		group:   groupStandin,
		set:     s,
		run: func(ctx context.Context, _ io.Writer) error {
			p := standin.NewPlatform(standin.PlatformConfig{})
			return serveBoth(ctx, *listen, p.Handler(), *admin, p.AdminHandler())
		},
	}
}

// serveBoth serves HTTP on two addresses until ctx is done. It returns a
// *ListenError if an address cannot be bound.
func serveBoth(ctx context.Context, a netip.AddrPort, ha http.Handler, b netip.AddrPort, hb http.Handler) error {
	la, err := net.Listen("tcp", a.String())
	if err != nil {
		return &ListenError{Address: a, Cause: err}
	}
	lb, err := net.Listen("tcp", b.String())
	if err != nil {
		la.Close()
		return &ListenError{Address: b, Cause: err}
	}
	sa := &http.Server{Handler: ha, ReadHeaderTimeout: headerTimeout}
	sb := &http.Server{Handler: hb, ReadHeaderTimeout: headerTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { _ = sa.Serve(la) })
	wg.Go(func() { _ = sb.Serve(lb) })
	<-ctx.Done()
	sa.Close()
	sb.Close()
	wg.Wait()
	return nil
}

func newFabricProgram() program {
	s := setting.NewSet()
	callers := s.Address("callers-address", "127.0.0.1:6080", "address to which callers send their packets")
	answers := s.Address("answers-address", "127.0.0.1:6082", "address to which sidecars and balancers send answers")
	status := s.Address("status-address", "127.0.0.1:0", "address that serves /stats and /balancers")
	balancers := s.Addresses("balancers", "", "fabric addresses of the balancers")
	loss := s.Float("loss", 0, 0, 1, "", "ratio of packets that are dropped")
	duplicate := s.Float("duplicate", 0, 0, 1, "", "ratio of packets that are duplicated")
	delay := s.Duration("delay", 0, 0, maxStandinDelay, "delay of every packet")
	jitter := s.Duration("jitter", 0, 0, maxStandinDelay, "maximum random delay on top of the fixed delay")
	seed := s.Int("seed", 1, 0, 1<<30, "", "seed of the selection of balancers and faults")
	s.Require("balancers")
	return program{
		name:    "fabric",
		short:   "Stand in for the fabric: distribute packets over balancers",
		example: "corianderbay standin fabric --balancers 127.0.0.1:6081,127.0.0.1:6181",
		group:   groupStandin,
		set:     s,
		run: func(ctx context.Context, _ io.Writer) error {
			f, err := standin.NewFabric(standin.FabricConfig{
				Callers:   *callers,
				Answers:   *answers,
				Status:    *status,
				Balancers: *balancers,
				Seed:      uint64(*seed),
				Faults: standin.FabricFaults{
					Loss:      *loss,
					Duplicate: *duplicate,
					Delay:     *delay,
					Jitter:    *jitter,
				},
			})
			if err != nil {
				return err
			}
			return f.Run(ctx)
		},
	}
}

func newUpstreamProgram() program {
	s := setting.NewSet()
	name := s.String("name", "upstream", "name written into answers")
	service := s.String("service", "", "service written into answers")
	tunnel := s.Address("tunnel-address", "127.0.0.1:0", "address that receives callers' packets in Geneve")
	datagram := s.Address("datagram-address", "127.0.0.1:0", "address that receives plain UDP requests")
	status := s.Address("status-address", "127.0.0.1:0", "address that serves /health and /load")
	slots := s.Int("slots", 2, 1, 1000, "requests", "number of requests that run concurrently")
	serviceTime := s.Duration("service-time", 0, 0, maxStandinDelay, "how long a request occupies its slot")
	return program{
		name:    "upstream",
		short:   "Stand in for an upstream; prints the requests it ran when it stops",
		example: "corianderbay standin upstream --name fitting-1 --service fitting --tunnel-address 127.0.0.1:7001",
		group:   groupStandin,
		set:     s,
		run: func(ctx context.Context, w io.Writer) error {
			u, err := standin.NewUpstream(standin.UpstreamConfig{
				Name:        *name,
				Service:     *service,
				Tunnel:      *tunnel,
				Datagram:    *datagram,
				Status:      *status,
				Slots:       *slots,
				ServiceTime: *serviceTime,
			})
			if err != nil {
				return err
			}
			if err := u.Run(ctx); err != nil {
				return err
			}
			return json.NewEncoder(w).Encode(u.Runs())
		},
	}
}

func newCallerProgram() program {
	s := setting.NewSet()
	fabric := s.Address("fabric", "127.0.0.1:6080", "address where the fabric receives callers' packets")
	targets := s.Strings("targets", "", "service addresses, each as service=protocol:address:port")
	source := s.String("source", "10.0.0.0/24", "source prefix of the flows; must be different for each caller of a trial")
	flows := s.Int("flows", 100, 1, maxCallerCount, "flows", "total number of flows")
	requests := s.Int("requests", 10, 1, maxCallerCount, "requests", "number of requests that each flow sends")
	parallel := s.Int("parallel", 50, 1, maxCallerCount/10, "flows", "number of flows that run concurrently")
	think := s.Duration("think", 0, 0, maxStandinDelay, "pause of a flow between two requests")
	id := s.Int("id", 1, 0, 1<<40, "", "ID of the first flow")
	seed := s.Int("seed", 1, 0, 1<<30, "", "seed of the initial sequence numbers")
	s.Require("targets")
	return program{
		name:    "caller",
		short:   "Stand in for callers; prints the outcome of their requests as JSON",
		example: "corianderbay standin caller --targets fitting=tcp:198.51.100.1:7000 --flows 100",
		group:   groupStandin,
		set:     s,
		run: func(ctx context.Context, w io.Writer) error {
			list, err := parseTargets(*targets)
			if err != nil {
				return err
			}
			prefix, err := netip.ParsePrefix(*source)
			if err != nil {
				return &SourceError{Value: *source}
			}
			c, err := standin.NewCaller(standin.CallerConfig{
				Fabric:    *fabric,
				Targets:   list,
				Sources:   []netip.Prefix{prefix},
				Flows:     *flows,
				Requests:  *requests,
				Parallel:  *parallel,
				ThinkTime: *think,
				ID:        uint64(*id),
				Seed:      uint64(*seed),
			})
			if err != nil {
				return err
			}
			if err := c.Run(ctx); err != nil {
				return err
			}
			return printResult(w, c.Result())
		},
	}
}

// printResult prints the result. It returns a *ViolationError if the result is not clean.
func printResult(w io.Writer, r standin.Result) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return err
	}
	if !r.Clean() {
		return &ViolationError{}
	}
	return nil
}

// parseTargets parses entries such as "fitting=tcp:198.51.100.1:7000". It returns
// a *TargetError.
func parseTargets(entries []string) ([]standin.CallerTarget, error) {
	var list []standin.CallerTarget
	for _, entry := range entries {
		service, rest, ok := strings.Cut(entry, "=")
		if !ok {
			return nil, &TargetError{Entry: entry}
		}
		protocol, address, ok := strings.Cut(rest, ":")
		if !ok || (protocol != "tcp" && protocol != "udp") {
			return nil, &TargetError{Entry: entry}
		}
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, &TargetError{Entry: entry}
		}
		t := standin.CallerTarget{Address: at, Protocol: flow.TCP, Service: service}
		if protocol == "udp" {
			t.Protocol = flow.UDP
		}
		list = append(list, t)
	}
	return list, nil
}
