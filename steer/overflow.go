package steer

import (
	"slices"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/registry"
)

const (
	// farRoundTrip is the assumed round trip to another data centre, in tenths of a
	// millisecond. It is not measured; the deployments have 2.8 and 9.8 ms.
	farRoundTrip = 100
	// overflowGain is by how much the share of flows that are sent to other data centres
	// grows per second while the wait there is clearly shorter, and shrinks while it is
	// not. Loads are means of a second and arrive late: with 0.5 the share overshoots, and
	// fewer requests are answered in time than without any overflow.
	overflowGain = 0.2
	// maxOverflow bounds this share.
	maxOverflow = 0.75
)

// overflow is the share of the new flows of a service that the processes of one data
// centre send to others. It is immutable.
type overflow struct {
	// share is from 0 to maxOverflow.
	share float64
	// targets are the other data centres with a shorter wait. It is not empty when share
	// is not 0.
	targets []overflowTarget
	at      time.Duration // when the newest report in it was sent
}

// overflowTarget is a data centre with its part of the flows that are sent to others.
type overflowTarget struct {
	dataCentre string
	spare      float64 // free slots per time of a request; positive
}

// site sums up the upstreams of a service in one data centre.
type site struct {
	dataCentre string
	queued     float64 // requests beyond the slots
	capacity   float64 // requests per tenth of a millisecond
	spare      float64 // the part of capacity that is not in use
}

// wait returns the mean wait for a slot in tenths of a millisecond.
func (s *site) wait() float64 { return s.queued / s.capacity }

// sites returns the data centres with upstreams that accept new flows, in the order of
// their names.
func (s *paces) sites(f *Fleet, p *registry.Pool, pace servicePace) []site {
	var list []site
	for i := range p.Members {
		m := &p.Members[i]
		status, known := f.Sidecars[m.Address.Host]
		if !known || m.Status != registry.Available || status.Stopping || status.Load.Silent || status.Load.Failing {
			continue
		}
		n := slices.IndexFunc(list, func(o site) bool { return o.dataCentre == m.DataCentre })
		if n < 0 {
			n = len(list)
			list = append(list, site{dataCentre: m.DataCentre})
		}
		list[n].add(float64(status.Load.Busy)/1000, float64(width(m, status)), s.work(m.Address.Host, pace))
	}
	slices.SortFunc(list, func(a, b site) int { return strings.Compare(a.dataCentre, b.dataCentre) })
	return list
}

// add adds an upstream with a mean number of requests.
func (s *site) add(busy, width, work float64) {
	s.queued += max(0, busy-width)
	s.capacity += width / work
	s.spare += max(0, width-busy) / work
}

// next returns the overflow of a data centre after one more report. The share follows the
// waits slowly, since the effect of a change is seen only after reports of it arrived. It
// is 0 at once when the wait of no other data centre is shorter, so that two data centres
// do not send flows to each other.
func (o overflow) next(sites []site, dataCentre string, at time.Duration) overflow {
	elapsed := min(time.Second, max(0, at-o.at)).Seconds()
	own := slices.IndexFunc(sites, func(s site) bool { return s.dataCentre == dataCentre })
	next := overflow{at: at}
	if own < 0 || o.at == 0 {
		return next
	}
	exceeded := false
	for i := range sites {
		s := &sites[i]
		if i == own || s.spare == 0 || s.wait() >= sites[own].wait() {
			continue
		}
		next.targets = append(next.targets, overflowTarget{dataCentre: s.dataCentre, spare: s.spare})
		exceeded = exceeded || s.wait()+farRoundTrip < sites[own].wait()
	}
	if len(next.targets) == 0 {
		return next
	}
	if exceeded {
		next.share = min(maxOverflow, o.share+overflowGain*elapsed)
	} else {
		next.share = max(0, o.share-overflowGain*elapsed)
	}
	return next
}

// dataCentre returns where the flow with the given hash goes, or "" when it stays.
func (o *overflow) dataCentre(hash uint64) string {
	if o.share == 0 {
		return ""
	}
	x := float64(rank(hash, registry.Host{})>>11) / (1 << 53)
	if x >= o.share {
		return ""
	}
	sum := 0.0
	for i := range o.targets {
		sum += o.targets[i].spare
	}
	x *= sum / o.share
	for i := range o.targets {
		if x < o.targets[i].spare {
			return o.targets[i].dataCentre
		}
		x -= o.targets[i].spare
	}
	return o.targets[len(o.targets)-1].dataCentre
}
