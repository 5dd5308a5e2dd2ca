package daemon

import (
	"context"
	"io"
	"time"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/instance"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/corianderbay/corianderbay/sidecar"
	"github.com/corianderbay/corianderbay/upstream"
)

func newBalancerProgram() program {
	s := setting.NewSet()
	c := declareCommon(s)
	fabric := s.Address("fabric-address", "127.0.0.1:6081", "address that receives Geneve datagrams from the fabric")
	forward := s.Address("forward-address", "127.0.0.1:0", "address that sends forwarded packets and receives hints")
	gateway := s.Address("gateway", "", "address of the fabric to which refusals are sent")
	workers := s.Int("workers", 2, 1, maxWorkers, "goroutines", "number of goroutines that receive from the fabric")
	mtu := s.Int("mtu", 9000, 576, 65507, "bytes", "maximum size of a forwarded datagram")
	drain := s.Duration("drain", 3*time.Second, 0, maxDrain, "how long a stopping balancer continues to forward")
	s.Require("gateway")
	return program{
		name:    "balancer",
		short:   "Forward callers' packets from the fabric to sidecars",
		example: "corianderbay balancer --name entry-1 --datacentre semarang --platform http://127.0.0.1:8500 --key-file cluster.key --ca-file ca.pem --certificate-file corianderbay.pem --certificate-key-file corianderbay.key --approvers adi:KEY --gateway 127.0.0.1:6082",
		set:     s,
		run: func(ctx context.Context, _ io.Writer) error {
			cfg, err := c.config()
			if err != nil {
				return err
			}
			b, err := instance.NewBalancer(instance.BalancerConfig{
				Config: cfg,
				Role: balancer.Config{
					Fabric:  *fabric,
					Forward: *forward,
					Gateway: *gateway,
					Workers: *workers,
					MTU:     *mtu,
					Drain:   *drain,
				},
			})
			if err != nil {
				return err
			}
			b.Run(ctx)
			return nil
		},
	}
}

func newSidecarProgram() program {
	s := setting.NewSet()
	c := declareCommon(s)
	forward := s.Address("forward-address", "127.0.0.1:6081", "address that receives forwarded packets, as listed in the bundle")
	gateway := s.Address("gateway", "", "address of the fabric to which answers are sent")
	mode := s.Choice("upstream-mode", upstream.ModeTunnel, []string{upstream.ModeTunnel, upstream.ModeDatagram}, "how packets reach the upstream")
	address := s.Address("upstream-address", "", "the upstream's tunnel endpoint or UDP server")
	workers := s.Int("workers", 2, 1, maxWorkers, "goroutines", "number of receiving goroutines")
	drain := s.Duration("drain", time.Minute, 0, maxDrain, "maximum time that a stopping sidecar waits for its flows to end")
	s.Require("gateway", "upstream-address")
	return program{
		name:    "sidecar",
		short:   "Own the flows of the upstream on the same instance",
		example: "corianderbay sidecar --name fitting-1 --datacentre semarang --platform http://127.0.0.1:8500 --key-file cluster.key --ca-file ca.pem --certificate-file corianderbay.pem --certificate-key-file corianderbay.key --approvers adi:KEY --gateway 127.0.0.1:6082 --upstream-address 127.0.0.1:7001",
		set:     s,
		run: func(ctx context.Context, _ io.Writer) error {
			cfg, err := c.config()
			if err != nil {
				return err
			}
			sc, err := instance.NewSidecar(instance.SidecarConfig{
				Config: cfg,
				Role: sidecar.Config{
					Forward:  *forward,
					Gateway:  *gateway,
					Workers:  *workers,
					Drain:    *drain,
					Upstream: upstream.Config{Mode: *mode, Address: *address},
				},
			})
			if err != nil {
				return err
			}
			sc.Run(ctx)
			return nil
		},
	}
}
