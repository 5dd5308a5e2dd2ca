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
	maxLoad         = 1_000_000
)

func newPlatformProgram() program {
	s := setting.NewSet()
	listen := s.Address("listen-address", "127.0.0.1:8500", "where processes of the system read and watch")
	admin := s.Address("admin-address", "127.0.0.1:8501", "where trials publish and set faults")
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

// serveBoth answers on two addresses until ctx is done.
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
	callers := s.Address("callers-address", "127.0.0.1:6080", "where callers send their packets")
	answers := s.Address("answers-address", "127.0.0.1:6082", "where sidecars and balancers send answers")
	status := s.Address("status-address", "127.0.0.1:0", "where /stats and /balancers answer")
	balancers := s.Addresses("balancers", "", "fabric addresses of the balancers")
	loss := s.Float("loss", 0, 0, 1, "", "share of packets that are lost")
	duplicate := s.Float("duplicate", 0, 0, 1, "", "share of packets that arrive twice")
	delay := s.Duration("delay", 0, 0, maxStandinDelay, "delay of every packet")
	jitter := s.Duration("jitter", 0, 0, maxStandinDelay, "largest random delay on top")
	seed := s.Int("seed", 1, 0, 1<<30, "", "starts the choice of balancers and faults")
	s.Require("balancers")
	return program{
		name:    "fabric",
		short:   "Stand in for the fabric: spray packets over balancers",
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
	name := s.String("name", "upstream", "name that answers carry")
	service := s.String("service", "", "service that answers carry")
	tunnel := s.Address("tunnel-address", "127.0.0.1:0", "where callers' packets arrive in Geneve")
	datagram := s.Address("datagram-address", "127.0.0.1:0", "where plain UDP requests arrive")
	status := s.Address("status-address", "127.0.0.1:0", "where /health and /load answer")
	slots := s.Int("slots", 2, 1, 1000, "requests", "how many run at once")
	serviceTime := s.Duration("service-time", 0, 0, maxStandinDelay, "how long a request holds its slot")
	return program{
		name:    "upstream",
		short:   "Stand in for an upstream; prints what it ran when it stops",
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
	fabric := s.Address("fabric", "127.0.0.1:6080", "where the fabric receives from callers")
	targets := s.Strings("targets", "", "service addresses, each as service=protocol:address:port")
	source := s.String("source", "10.0.0.0/24", "prefix that flows come from; callers of one trial must not share one")
	flows := s.Int("flows", 100, 1, maxLoad, "flows", "how many flows run in all")
	requests := s.Int("requests", 10, 1, maxLoad, "requests", "how many requests each flow sends")
	parallel := s.Int("parallel", 50, 1, maxLoad/10, "flows", "how many flows run at once")
	think := s.Duration("think", 0, 0, maxStandinDelay, "pause of a flow between two requests")
	id := s.Int("id", 1, 0, 1<<40, "", "identity of the first flow")
	seed := s.Int("seed", 1, 0, 1<<30, "", "starts the choice of sequence numbers")
	s.Require("targets")
	return program{
		name:    "caller",
		short:   "Stand in for callers; prints what came of their requests as JSON",
		example: "corianderbay standin caller --targets fitting=tcp:198.51.100.1:7000 --flows 100",
		group:   groupStandin,
		set:     s,
		run: func(ctx context.Context, w io.Writer) error {
			list, err := parseTargets(*targets)
			if err != nil {
				return err
			}
			from, err := netip.ParsePrefix(*source)
			if err != nil {
				return &SourceError{Text: *source}
			}
			c, err := standin.NewCaller(standin.CallerConfig{
				Fabric:    *fabric,
				Targets:   list,
				Sources:   []netip.Prefix{from},
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

// printResult prints the result and reports *UncleanError when it is not clean.
func printResult(w io.Writer, r standin.Result) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return err
	}
	if !r.Clean() {
		return &UncleanError{}
	}
	return nil
}

// parseTargets reads entries like "fitting=tcp:198.51.100.1:7000".
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
