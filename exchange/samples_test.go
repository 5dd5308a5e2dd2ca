package exchange

import (
	"time"

	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/corianderbay/corianderbay/steer"
)

// sample is a message of version 1 with a name. The value has only what version 1
// has, so that the build of commit 524ed58 compiles this file, too.
type sample struct {
	name  string
	value any
}

// header is the sample of a forwarded packet.
type forwardSample struct {
	header steer.Header
	packet string
}

// flowsSample is the sample of a datagram that lists flows.
type flowsSample []steer.Key

func sampleKey(n byte) steer.Key {
	return steer.Key{
		Caller:  registry.Endpoint{Host: registry.Host{192, 0, 2, n}, Port: 40000 + uint16(n)},
		Address: registry.Endpoint{Host: registry.Host{198, 51, 100, 1}, Port: 8443},
	}
}

// sampleHost returns host n of the samples.
func sampleHost(n byte) registry.Host {
	return registry.Host{10, 1, 2, n}
}

func sampleHeartbeats() []sample {
	balancer := membership.Heartbeat{
		Role: membership.Balancer, DataCentre: "semarang", Incarnation: 3_000_000_001, Sequence: 70_000, Version: 41,
		State: registry.State{Era: 2, Revision: 1 << 40}, FormerHash: 0xcafe0001, StoreAge: 1234567 * time.Nanosecond, Reading: true,
	}
	lists := balancer
	lists.Balancers = []registry.Host{sampleHost(1), sampleHost(2), sampleHost(200)}
	lists.Unlisted, lists.Lost = []registry.Host{sampleHost(21)}, []registry.Host{sampleHost(22), sampleHost(23)}
	lists.Stopping = true
	sidecar := membership.Heartbeat{
		Role: membership.Sidecar, DataCentre: "semarang", Incarnation: 7, Sequence: 1, Version: 41,
		State: registry.State{Revision: 90}, StoreAge: time.Hour,
		Load: membership.Load{Flows: 300, Active: 2, Busy: 1900, Silent: true, Refusing: true, Failing: true},
	}
	ended := membership.Heartbeat{Role: membership.Sidecar, Stopping: true, Load: membership.Load{Ended: true}}
	listing := sidecar
	listing.Load, listing.Balancers = membership.Load{}, []registry.Host{sampleHost(1)}
	return []sample{
		{"heartbeat-balancer", balancer},
		{"heartbeat-balancer-lists", lists},
		{"heartbeat-balancer-least", membership.Heartbeat{Role: membership.Balancer}},
		{"heartbeat-sidecar-load", sidecar},
		{"heartbeat-sidecar-ended", ended},
		{"heartbeat-sidecar-lists", listing},
	}
}

func sampleDigests() []sample {
	empty := membership.Digest{
		DataCentre: "semarang", Version: 41, State: registry.State{Era: 2, Revision: 100}, FormerHash: 9, StoreAge: 5 * time.Second,
	}
	all := empty
	for i, s := range sampleHeartbeats() {
		b := s.value.(membership.Heartbeat)
		all = all.WithReport(sampleHost(byte(i)), &b, time.Duration(i)*70*time.Millisecond)
	}
	remote := sampleHeartbeats()[3].value.(membership.Heartbeat)
	remote.DataCentre = "twenty-bytes-of-name"
	return []sample{
		{"digest-reports", all},
		{"digest-remote", empty.WithReport(sampleHost(9), &remote, 19*time.Second)},
		{"digest-least", membership.Digest{DataCentre: "a"}},
	}
}

func sampleUpdate() registry.Update {
	u := &registry.Upstream{
		ID: "u1", Service: "fitting", Address: registry.Endpoint{Host: sampleHost(21), Port: 8080}, DataCentre: "semarang",
		Release: "1.2", Slots: 2, Draining: true, Warmup: time.Second, StartedAt: 1_700_000_000_000, Sequence: 4,
	}
	return registry.Update{
		Routes: &registry.Routes{
			Version: 41, Idle: 15 * time.Second,
			List: []registry.Route{{
				Name: "steady", Address: sampleKey(1).Address, Homes: []string{"java"},
				Targets: []registry.Target{{Service: "fitting", Weight: 3}, {Service: "report", Weight: 1}},
			}},
			Services: map[string]registry.Service{"fitting": {}},
		},
		State: registry.State{Era: 2, Revision: 100}, From: registry.State{Era: 2, Revision: 98},
		Changes:           []registry.Change{{Key: "k1", Revision: 99, Upstream: u}, {Key: "k2", Revision: 100}},
		Evacuations:       []registry.EvacuationChange{{DataCentre: "bogor", Revision: 99, Status: registry.EvacuationActive}},
		Former:            []registry.FormerRecord{{Key: "k3", Upstream: u, Deleted: true, MissingFor: time.Second}},
		FormerEvacuations: []registry.FormerEvacuation{{DataCentre: "bogor", Changed: registry.State{Era: 1, Revision: 400}, Active: true, ValidFor: time.Second}},
	}
}

// samples returns all samples of version 1.
func samples() []sample {
	header := steer.Header{
		Balancer: sampleHost(1), Service: registry.HashService("fitting"), Version: 41,
		State: registry.State{Era: 2, Revision: 100}, UnknownFlow: true, Remote: true, Visited: []registry.Host{sampleHost(21), sampleHost(22)},
	}
	list := append(sampleHeartbeats(), sampleDigests()...)
	return append(list,
		sample{"forward-search", forwardSample{header: header, packet: "packet"}},
		sample{"forward-least", forwardSample{header: steer.Header{}, packet: "packet"}},
		sample{"flows", flowsSample{sampleKey(1), sampleKey(2), sampleKey(3)}},
		sample{"missing", steer.MissReport{
			Key: sampleKey(1), Acknowledged: 1 << 31, State: registry.State{Era: 2, Revision: 100}, Hosts: []registry.Host{sampleHost(21), sampleHost(22)},
		}},
		sample{"missing-least", steer.MissReport{}},
		sample{"frame-query", query{Version: 41, State: registry.State{Era: 2, Revision: 98}}},
		sample{"frame-query-first", query{}},
		sample{"frame-update", sampleUpdate()},
		sample{"frame-update-none", registry.Update{}},
	)
}
