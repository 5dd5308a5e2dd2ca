package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderbay/corianderbay/admit"
	"github.com/corianderbay/corianderbay/registry"
)

// AdmissionChange reports that the overload of a service began or ended.
type AdmissionChange struct {
	Service string
	admit.Change
}

// AdmissionStatus is the state of admission to one service.
type AdmissionStatus struct {
	Service    string
	Overloaded bool
	// Standing is the least wait at any upstream within the last half second.
	Standing time.Duration
	// Classes has one entry for each priority, the most important first.
	Classes []AdmissionClass
}

// AdmissionClass is the state of admission for the routes of one priority.
type AdmissionClass struct {
	Priority int
	admit.ClassStatus
}

// AdmissionChanges updates the state of admission from the current fleet, and returns and
// clears the beginnings and ends of overload since the last call.
func (b *Balancer) AdmissionChanges(now time.Duration) []AdmissionChange {
	a, f := b.admission, b.fleet.Load()
	if a == nil || f == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(now, f)
	list := a.changes
	a.changes = nil
	return list
}

// Admission returns the state of admission to each service whose routes have different
// priorities, in the order of their names. It is empty when admission is not enabled.
func (b *Balancer) Admission(now time.Duration) []AdmissionStatus {
	a := b.admission
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []AdmissionStatus
	for _, st := range a.controller.Status(now) {
		l, known := a.services[registry.ServiceHash(st.Service)]
		if !known {
			continue
		}
		list = append(list, l.status(&st))
	}
	slices.SortFunc(list, func(a, b AdmissionStatus) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// status adds the names of the service and the priorities to a status.
func (l *serviceLoad) status(st *admit.ServiceStatus) AdmissionStatus {
	s := AdmissionStatus{Service: l.service, Overloaded: st.Overloaded, Standing: st.Standing}
	for i := range min(len(st.Classes), len(l.priorities)) {
		s.Classes = append(s.Classes, AdmissionClass{Priority: l.priorities[i], ClassStatus: st.Classes[i]})
	}
	return s
}
