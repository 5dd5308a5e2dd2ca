package bundle

import "net/netip"

// The reasons of an AddressError.
const (
	reasonZone        = "it has a zone"
	reasonMapped      = "it is an IPv4 address written as IPv6"
	reasonUnspecified = "it is unspecified"
	reasonMulticast   = "it is a multicast address"
)

func (c *checker) serviceList(path string, list []Service) {
	c.count(path, len(list), MaxServices)
	for i, s := range list {
		c.services[s.Name] = i
	}
	for i, s := range list {
		c.service(path, indexPath(path, i), s)
	}
}

func (c *checker) service(list, path string, s Service) {
	c.name(list, joinPath(path, "name"), s.Name)
	c.serviceID(joinPath(path, "name"), s)
	c.addressList(joinPath(path, "addresses"), s)
	c.rules(joinPath(path, "rules"), s.Rules)
	c.objectives(joinPath(path, "objectives"), s.Objectives)
	c.places(joinPath(path, "places"), s)
}

func (c *checker) serviceID(path string, s Service) {
	first, ok := c.serviceIDs[s.ID()]
	if ok && first != s.Name {
		c.add(&CollisionError{Position: Position{Path: path}, ID: uint32(s.ID()), Name: s.Name, First: first})
	}
	c.serviceIDs[s.ID()] = s.Name
}

func (c *checker) addressList(path string, s Service) {
	c.count(path, len(s.Addresses), MaxEntries)
	for i, a := range s.Addresses {
		at := indexPath(path, i)
		c.address(at, a)
		if a.Former != "" {
			c.former(joinPath(at, "former"), s, a.Former)
		}
	}
}

func (c *checker) address(path string, a Address) {
	c.choice(joinPath(path, "protocol"), a.Protocol, ProtocolTCP, ProtocolUDP)
	if !a.IP.IsValid() {
		c.add(&MissingError{Position: Position{Path: joinPath(path, "ip")}})
		return
	}
	c.usableAddress(joinPath(path, "ip"), a.IP)
	if first, ok := c.addresses[a.withoutFormer()]; ok {
		c.add(&DuplicateAddressError{Position: Position{Path: path}, Address: a.String(), First: first})
		return
	}
	c.addresses[a.withoutFormer()] = path
}

// usableAddress adds a fault for an address to which no packet can be sent, or
// that does not compare equal to the same address in another notation.
func (c *checker) usableAddress(path string, ip netip.Addr) {
	reason := ""
	switch {
	case ip.Zone() != "":
		reason = reasonZone
	case ip.Is4In6():
		reason = reasonMapped
	case ip.IsUnspecified():
		reason = reasonUnspecified
	case ip.IsMulticast():
		reason = reasonMulticast
	default:
		return
	}
	c.add(&AddressError{Position: Position{Path: path}, Address: ip.String(), Reason: reason})
}

// former checks the former service of an address.
func (c *checker) former(path string, s Service, former string) {
	if former == s.Name {
		c.add(&SelfReferenceError{Position: Position{Path: path}, Name: former})
		return
	}
	i, ok := c.services[former]
	if !ok {
		c.add(&UnknownServiceError{Position: Position{Path: path}, Name: former})
		return
	}
	c.count(path, countUpstreams(s)+countUpstreams(c.bundle.Services[i]), MaxUpstreams)
}

func (c *checker) rules(path string, list []Rule) {
	c.count(path, len(list), MaxEntries)
	for i, r := range list {
		at := joinPath(indexPath(path, i), "callers")
		if c.prefix(at, r.Callers) {
			c.unique(path, at, r.Callers.String())
		}
	}
}

func (c *checker) objectives(path string, list []Objective) {
	c.count(path, len(list), MaxEntries)
	for i, o := range list {
		at := indexPath(path, i)
		c.name(path, joinPath(at, "name"), o.Name)
		c.choice(joinPath(at, "measure"), o.Measure, MeasureFlows, MeasureAnswers, MeasureLatency)
		c.latencyBound(joinPath(at, "within"), o.Measure, o.Within)
	}
}

func (c *checker) places(path string, s Service) {
	c.count(path, countUpstreams(s), MaxUpstreams)
	for i, p := range s.Places {
		at := indexPath(path, i)
		centre := joinPath(at, "datacentre")
		if c.knownDataCentre(p.DataCentre) {
			c.unique(path, centre, p.DataCentre)
		} else {
			c.add(&UnknownDataCentreError{Position: Position{Path: centre}, Name: p.DataCentre})
		}
		for j, u := range p.Upstreams {
			c.upstream(indexPath(joinPath(at, "upstreams"), j), u)
		}
	}
}

func (c *checker) knownDataCentre(name string) bool {
	_, ok := c.names["datacentres\n"+name]
	return ok
}

func (c *checker) upstream(path string, u Upstream) {
	name := joinPath(path, "name")
	c.name("upstreams", name, u.Name)
	first, ok := c.upstreamIDs[u.ID()]
	if ok && first != u.Name {
		c.add(&CollisionError{Position: Position{Path: name}, ID: uint32(u.ID()), Name: u.Name, First: first})
	}
	c.upstreamIDs[u.ID()] = u.Name
	sidecar := joinPath(path, "sidecar")
	if !u.Sidecar.IsValid() || u.Sidecar.Port() == 0 {
		c.add(&MissingError{Position: Position{Path: sidecar}})
		return
	}
	c.usableAddress(sidecar, u.Sidecar.Addr())
	if at, ok := c.sidecars[u.Sidecar]; ok {
		c.add(&DuplicateSidecarError{Position: Position{Path: sidecar}, Sidecar: u.Sidecar.String(), First: at})
		return
	}
	c.sidecars[u.Sidecar] = sidecar
}

func countUpstreams(s Service) int {
	n := 0
	for _, p := range s.Places {
		n += len(p.Upstreams)
	}
	return n
}
