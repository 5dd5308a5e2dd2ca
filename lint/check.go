package lint

import (
	"fmt"
	"maps"
	"slices"

	"github.com/corianderbay/corianderbay/registry"
)

// Config configures Check. Only Routes is required.
type Config struct {
	Routes *registry.Routes
	// Current is the version in force, or nil when it is unknown.
	Current *registry.Routes
	// Upstreams is the list of upstreams, or nil when it is unknown.
	Upstreams *Upstreams
}

// Upstreams is which services are served, and where. It is immutable.
type Upstreams struct {
	// regions holds the regions with an upstream of the service, by service. It has the
	// empty name for upstreams in data centres without a known region.
	regions map[string]map[string]struct{}
	// located is true when the region of at least one data centre is known.
	located bool
}

// NewUpstreams returns the upstreams of a list. regions holds the region of each data
// centre by its name. When it is empty, homes are not checked.
func NewUpstreams(list []registry.Upstream, regions map[string]string) *Upstreams {
	u := &Upstreams{regions: make(map[string]map[string]struct{}), located: len(regions) > 0}
	for i := range list {
		service := list[i].Service
		if u.regions[service] == nil {
			u.regions[service] = make(map[string]struct{})
		}
		u.regions[service][regions[list[i].DataCentre]] = struct{}{}
	}
	return u
}

// serve reports whether the service has an upstream.
func (u *Upstreams) serve(service string) bool {
	return len(u.regions[service]) > 0
}

// serveIn reports whether one of the targets has an upstream in the region.
func (u *Upstreams) serveIn(targets []registry.Target, region string) bool {
	for i := range targets {
		if _, served := u.regions[targets[i].Service][region]; served && region != "" {
			return true
		}
	}
	return false
}

// Check returns the findings about the routes, in the order of the routes and then of
// the names of the services.
func Check(cfg Config) []Finding {
	c := &checker{Config: cfg}
	c.checkVersion()
	c.checkDuplicates()
	for i := range cfg.Routes.List {
		c.checkTargets(i)
		c.checkHomes(i)
		c.checkObjective(i)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Routes.Services)) {
		c.checkCold(name, cfg.Routes.Services[name])
	}
	return c.findings
}

// checker collects the findings.
type checker struct {
	Config
	findings []Finding
}

func (c *checker) add(s Severity, code Code, p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Code: code, Place: p, Text: fmt.Sprintf(format, args...)})
}

// checkVersion requires a higher version, since processes ignore routes whose version
// is not newer than theirs. A version of 0 is refused when it is decoded.
func (c *checker) checkVersion() {
	if c.Current == nil || c.Routes.Version == 0 || c.Routes.Version > c.Current.Version {
		return
	}
	c.add(Error, CodeVersion, VersionPlace{}, "version %d is not above version %d, which is in force", c.Routes.Version, c.Current.Version)
}

// checkDuplicates finds routes with the address or the name of an earlier one.
func (c *checker) checkDuplicates() {
	addresses := make(map[registry.Endpoint]int)
	names := make(map[string]int)
	for i := range c.Routes.List {
		r := &c.Routes.List[i]
		if first, found := addresses[r.Address]; found {
			c.add(Error, CodeAddress, RoutePlace{Route: i, Part: PartAddress},
				"%s has the address and port %s of %s", labelOf(r), r.Address, labelOf(&c.Routes.List[first]))
		} else {
			addresses[r.Address] = i
		}
		if _, found := names[r.Name]; found && r.Name != "" {
			c.add(Warning, CodeName, RoutePlace{Route: i, Part: PartName}, "an earlier route has the name %q, too", r.Name)
		}
		names[r.Name] = i
	}
}

// checkTargets finds targets that no upstream serves. A service that has settings may
// be waiting for its first upstream.
func (c *checker) checkTargets(i int) {
	r := &c.Routes.List[i]
	for n := range r.Targets {
		name := r.Targets[n].Service
		_, named := c.Routes.Services[name]
		place := TargetPlace{Route: i, Target: n}
		switch {
		case c.Upstreams != nil && c.Upstreams.serve(name), c.Upstreams == nil && named:
		case c.Upstreams == nil:
			c.add(Warning, CodeService, place, "service %q has no entry; whether an upstream serves it is not known", name)
		case named:
			c.add(Warning, CodeService, place, "no upstream serves service %q", name)
		default:
			c.add(Error, CodeService, place, "service %q has no entry and no upstream serves it", name)
		}
	}
}

// checkHomes finds homes without an upstream. It is an error when no home has one,
// since then the route receives no flows. A route without any upstream is left to checkTargets.
func (c *checker) checkHomes(i int) {
	r := &c.Routes.List[i]
	if c.Upstreams == nil || !c.Upstreams.located || !c.servesAny(r) {
		return
	}
	var empty []int
	for n, home := range r.Homes {
		if !c.Upstreams.serveIn(r.Targets, home) {
			empty = append(empty, n)
		}
	}
	severity := Warning
	if len(empty) == len(r.Homes) {
		severity = Error
	}
	for _, n := range empty {
		c.add(severity, CodeHomes, HomePlace{Route: i, Home: n}, "%s has no upstream in region %q", labelOf(r), r.Homes[n])
	}
}

func (c *checker) servesAny(r *registry.Route) bool {
	return slices.ContainsFunc(r.Targets, func(t registry.Target) bool { return c.Upstreams.serve(t.Service) })
}

func (c *checker) checkObjective(i int) {
	r := &c.Routes.List[i]
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Error, CodeObjective, RoutePlace{Route: i, Part: PartObjective}, "objective %s is above timeout %s", r.Objective, r.Timeout)
	}
}

func (c *checker) checkCold(name string, s registry.Service) {
	if s.MaxFlows > 0 && s.ColdRate > float64(s.MaxFlows) {
		c.add(Error, CodeCold, ServicePlace{Service: name, Part: PartColdRate},
			"cold rate of %v openings a second is above the maximum of %d flows of an upstream", s.ColdRate, s.MaxFlows)
	}
}

// labelOf returns the name of the route, or its address when it has none.
func labelOf(r *registry.Route) string {
	if r.Name == "" {
		return "route " + r.Address.String()
	}
	return "route " + r.Name
}
