package lint_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/lint"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/shoenig/test/must"
)

// newRoutes returns version 2 with the routes r-1 and r-2, which go to service x.
func newRoutes(t *testing.T, edits ...func(*registry.Routes)) *registry.Routes {
	t.Helper()
	r := &registry.Routes{
		Version:  2,
		Idle:     15 * time.Second,
		Services: map[string]registry.Service{"x": {MaxFlows: 100, ColdRate: 10}},
		List:     []registry.Route{newRoute(t, "r-1", "198.18.0.1:80"), newRoute(t, "r-2", "198.18.0.1:81")},
	}
	for _, edit := range edits {
		edit(r)
	}
	return r
}

func newRoute(t *testing.T, name, address string) registry.Route {
	t.Helper()
	e, err := registry.EndpointOf(netip.MustParseAddrPort(address))
	must.NoError(t, err)
	return registry.Route{
		Name: name, Address: e, Targets: []registry.Target{{Service: "x", Weight: 1}},
		Timeout: time.Second, Objective: 100 * time.Millisecond,
	}
}

// TestCheckFindsEachFault has a case for each check. It guards against faults that are
// not found, and against findings at another place.
func TestCheckFindsEachFault(t *testing.T) {
	north := map[string]string{"a": "north"}
	served := lint.NewUpstreams([]registry.Upstream{{Service: "x", DataCentre: "a"}}, north)
	unlocated := lint.NewUpstreams([]registry.Upstream{{Service: "x", DataCentre: "a"}}, nil)
	elsewhere := lint.NewUpstreams([]registry.Upstream{{Service: "x", DataCentre: "b"}}, north)
	none := lint.NewUpstreams(nil, north)
	home := func(homes ...string) func(*registry.Routes) {
		return func(r *registry.Routes) { r.List[1].Homes = homes }
	}
	target := func(service string) func(*registry.Routes) {
		return func(r *registry.Routes) { r.List[1].Targets[0].Service = service }
	}
	type find struct {
		severity lint.Severity
		code     lint.Code
		place    lint.Place
	}
	for name, c := range map[string]struct {
		edit      func(*registry.Routes)
		current   *registry.Routes
		upstreams *lint.Upstreams
		want      []find
	}{
		"valid":       {edit: home("north"), upstreams: served},
		"newer":       {current: newRoutes(t, func(r *registry.Routes) { r.Version = 1 })},
		"same":        {current: newRoutes(t), want: []find{{lint.Error, lint.CodeVersion, lint.VersionPlace{}}}},
		"older":       {current: newRoutes(t, func(r *registry.Routes) { r.Version = 3 }), want: []find{{lint.Error, lint.CodeVersion, lint.VersionPlace{}}}},
		"address":     {edit: func(r *registry.Routes) { r.List[1].Address = r.List[0].Address }, want: []find{{lint.Error, lint.CodeAddress, lint.RoutePlace{Route: 1, Part: lint.PartAddress}}}},
		"name":        {edit: func(r *registry.Routes) { r.List[1].Name = "r-1" }, want: []find{{lint.Warning, lint.CodeName, lint.RoutePlace{Route: 1, Part: lint.PartName}}}},
		"no names":    {edit: func(r *registry.Routes) { r.List[0].Name, r.List[1].Name = "", "" }},
		"unlisted":    {edit: target("y"), want: []find{{lint.Warning, lint.CodeService, lint.TargetPlace{Route: 1}}}},
		"unserved":    {edit: target("y"), upstreams: served, want: []find{{lint.Error, lint.CodeService, lint.TargetPlace{Route: 1}}}},
		"waiting":     {upstreams: none, want: []find{{lint.Warning, lint.CodeService, lint.TargetPlace{}}, {lint.Warning, lint.CodeService, lint.TargetPlace{Route: 1}}}},
		"no entry":    {edit: func(r *registry.Routes) { r.Services = nil }, upstreams: served},
		"home":        {edit: home("south"), upstreams: served, want: []find{{lint.Error, lint.CodeHomes, lint.HomePlace{Route: 1}}}},
		"homes":       {edit: home("south", "west"), upstreams: served, want: []find{{lint.Error, lint.CodeHomes, lint.HomePlace{Route: 1}}, {lint.Error, lint.CodeHomes, lint.HomePlace{Route: 1, Home: 1}}}},
		"one home":    {edit: home("south", "north"), upstreams: served, want: []find{{lint.Warning, lint.CodeHomes, lint.HomePlace{Route: 1}}}},
		"no regions":  {edit: home("south"), upstreams: unlocated},
		"no region":   {edit: home(""), upstreams: elsewhere, want: []find{{lint.Error, lint.CodeHomes, lint.HomePlace{Route: 1}}}},
		"objective":   {edit: func(r *registry.Routes) { r.List[1].Objective = time.Second + 1 }, want: []find{{lint.Error, lint.CodeObjective, lint.RoutePlace{Route: 1, Part: lint.PartObjective}}}},
		"at timeout":  {edit: func(r *registry.Routes) { r.List[1].Objective = time.Second }},
		"no timeout":  {edit: func(r *registry.Routes) { r.List[1].Timeout = 0 }},
		"cold":        {edit: func(r *registry.Routes) { r.Services["x"] = registry.Service{MaxFlows: 100, ColdRate: 100.5} }, want: []find{{lint.Error, lint.CodeCold, lint.ServicePlace{Service: "x", Part: lint.PartColdRate}}}},
		"no maximum":  {edit: func(r *registry.Routes) { r.Services["x"] = registry.Service{ColdRate: 100.5} }},
		"at maximum":  {edit: func(r *registry.Routes) { r.Services["x"] = registry.Service{MaxFlows: 100, ColdRate: 100} }},
		"unserved no": {edit: func(r *registry.Routes) { target("y")(r); home("south")(r) }, upstreams: served, want: []find{{lint.Error, lint.CodeService, lint.TargetPlace{Route: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoutes(t)
			if c.edit != nil {
				c.edit(r)
			}
			var got []find
			for _, f := range lint.Check(lint.Config{Routes: r, Current: c.current, Upstreams: c.upstreams}) {
				must.NotEq(t, "", f.Text)
				got = append(got, find{f.Severity, f.Code, f.Place})
			}
			must.Eq(t, c.want, got)
		})
	}
}

// TestCompareStatesWhatMoves has a case for each difference. It guards against a
// difference that is not reported or whose effect on flows is wrong.
func TestCompareStatesWhatMoves(t *testing.T) {
	route := func(edit func(*registry.Route)) func(*registry.Routes) {
		return func(r *registry.Routes) { edit(&r.List[1]) }
	}
	split := func(x, y uint32) func(*registry.Routes) {
		return route(func(r *registry.Route) {
			r.Targets = []registry.Target{{Service: "x", Weight: x}, {Service: "y", Weight: y}}
		})
	}
	homes := func(names ...string) func(*registry.Routes) {
		return route(func(r *registry.Route) { r.Homes = names })
	}
	service := func(s registry.Service) func(*registry.Routes) {
		return func(r *registry.Routes) { r.Services["x"] = s }
	}
	for name, c := range map[string]struct {
		old, next func(*registry.Routes)
		want      []string
	}{
		"nothing": {},
		"target": {
			next: route(func(r *registry.Route) { r.Targets[0].Service = "y" }),
			want: []string{"route r-2: new flows go to y; open flows stay"},
		},
		"split": {
			next: split(90, 10),
			want: []string{"route r-2: new flows go to x 90%, y 10% instead of x, which moves 10% of them; open flows stay"},
		},
		"weights": {
			old: split(90, 10), next: split(1, 3),
			want: []string{"route r-2: new flows go to x 25%, y 75% instead of x 90%, y 10%, which moves 65% of them; open flows stay"},
		},
		"factor": {old: split(1, 3), next: split(30, 90)},
		"added": {
			next: func(r *registry.Routes) { r.List = append(r.List, newRoute(t, "r-3", "198.18.0.1:82")) },
			want: []string{"route r-3 is new: new flows to 198.18.0.1:82 go to x"},
		},
		"removed": {
			next: func(r *registry.Routes) { r.List = r.List[:1] },
			want: []string{"route r-2 is removed: its open flows are dropped; new flows are refused"},
		},
		"renamed": {
			next: route(func(r *registry.Route) { r.Name = "r-9" }),
			want: []string{"route r-9 is new: it takes new flows to 198.18.0.1:81, which go to x; open flows stay", "route r-2 is removed: route r-9 takes its address; open flows stay"},
		},
		"moved": {
			next: route(func(r *registry.Route) { r.Address.Port = 90 }),
			want: []string{"route r-2 moves from 198.18.0.1:81 to 198.18.0.1:90: at the former address open flows are dropped"},
		},
		"swapped": {
			next: func(r *registry.Routes) { r.List[0].Address, r.List[1].Address = r.List[1].Address, r.List[0].Address },
			want: []string{"route r-1 moves from 198.18.0.1:80 to 198.18.0.1:81: at the former address open flows stay", "route r-2 moves from 198.18.0.1:81 to 198.18.0.1:80: at the former address open flows stay"},
		},
		"nameless": {
			old: route(func(r *registry.Route) { r.Name = "" }), next: route(func(r *registry.Route) { r.Name = ""; r.Priority = 2 }),
			want: []string{"route 198.18.0.1:81: priority changes from 0 to 2; no flow moves"},
		},
		"homes": {
			next: route(func(r *registry.Route) { r.Homes = []string{"north"} }),
			want: []string{"route r-2: new flows go to regions north instead of all regions; open flows stay, those in other regions only while a balancer remembers them"},
		},
		"other homes": {
			old: homes("north", "west"), next: homes("south", "north"),
			want: []string{"route r-2: new flows go to regions south, north instead of regions north, west; open flows stay, those in other regions only while a balancer remembers them"},
		},
		"more homes": {
			old: homes("north"), next: homes("north", "south"),
			want: []string{"route r-2: new flows go to regions north, south instead of regions north; open flows stay"},
		},
		"all homes": {
			old:  homes("north"),
			want: []string{"route r-2: new flows go to all regions instead of regions north; open flows stay"},
		},
		"times": {
			next: route(func(r *registry.Route) { r.Timeout = 2 * time.Second; r.Objective = time.Second }),
			want: []string{"route r-2: timeout changes from 1s to 2s; no flow moves", "route r-2: objective changes from 100ms to 1s; no flow moves"},
		},
		"idempotent": {
			next: route(func(r *registry.Route) { r.Idempotent = true }),
			want: []string{"route r-2: callers may repeat requests; no flow moves"},
		},
		"idle": {
			next: func(r *registry.Routes) { r.Idle = time.Second },
			want: []string{"idle time changes from 15s to 1s: it applies to open flows, too"},
		},
		"maximum": {
			next: service(registry.Service{ColdRate: 10}),
			want: []string{"service x: maximum of flows of an upstream changes from 100 to no limit; a full upstream takes no new flows, open flows stay"},
		},
		"cold": {
			next: service(registry.Service{MaxFlows: 100, ColdRate: 20}),
			want: []string{"service x: openings a second of a cold upstream change from 10 to 20; open flows stay"},
		},
		"listens": {
			next: service(registry.Service{MaxFlows: 100, ColdRate: 10, Listens: true}),
			want: []string{"service x: upstreams answer health checks; no flow moves"},
		},
		"service": {
			next: func(r *registry.Routes) { r.Services = map[string]registry.Service{"y": {}} },
			want: []string{"service y has an entry", "service x has no entry any more: it has no limits"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			old, next := newRoutes(t), newRoutes(t)
			if c.old != nil {
				c.old(old)
			}
			if c.next != nil {
				c.next(next)
			}
			must.Eq(t, c.want, lint.Compare(old, next))
		})
	}
}
