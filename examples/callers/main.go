// Command callers runs 100 flows over a fabric to one upstream, with a plain
// relay where balancers and sidecars belong, and prints what came of them.
//
//	go run ./examples/callers
package main

import (
	"context"
	"encoding/json"
	"log"
	"net/netip"
	"os"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/standin"
	"github.com/sourcegraph/conc"
)

func main() {
	result, err := run(context.Background())
	if err != nil {
		log.Fatal(err)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(result); err != nil {
		log.Fatal(err)
	}
	if !result.Clean() {
		os.Exit(1)
	}
}

// run starts all parts on the loopback interface and returns what the callers saw.
func run(ctx context.Context) (standin.Result, error) {
	fabric, err := standin.NewFabric(standin.FabricConfig{Seed: 1})
	if err != nil {
		return standin.Result{}, err
	}
	upstream, err := standin.NewUpstream(standin.UpstreamConfig{Name: "report-1", Service: "report"})
	if err != nil {
		return standin.Result{}, err
	}
	relay, err := standin.NewRelay(standin.RelayConfig{To: upstream.TunnelAddr(), ReturnTo: fabric.AnswersAddr()})
	if err != nil {
		return standin.Result{}, err
	}
	fabric.SetBalancers([]netip.AddrPort{relay.Addr()})

	caller, err := standin.NewCaller(standin.CallerConfig{
		LocalFabric: fabric,
		Targets: []standin.CallerTarget{
			{Address: netip.MustParseAddrPort("198.51.100.1:80"), Protocol: flow.TCP, Service: "report"},
			{Address: netip.MustParseAddrPort("[2001:db8:1::1]:53"), Protocol: flow.UDP, Service: "report"},
		},
		Flows:    100,
		Requests: 10,
	})
	if err != nil {
		return standin.Result{}, err
	}

	ctx, stop := context.WithCancel(ctx)
	var parts conc.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { _ = fabric.Run(ctx) })
	parts.Go(func() { _ = upstream.Run(ctx) })
	parts.Go(func() { _ = relay.Run(ctx) })
	err = caller.Run(ctx)
	return caller.Result(), err
}
