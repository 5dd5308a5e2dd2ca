package route

import (
	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/forward"
)

// Explanation lists the candidates of a flow and the inputs of their order.
type Explanation struct {
	Service string `json:"service"`
	// Former is the service that the address belonged to before, or empty.
	Former string `json:"former"`
	// DataCentre is the data centre nearest to the caller, or empty when no caller
	// prefix matches.
	DataCentre string               `json:"datacentre"`
	Candidates []ExplainedCandidate `json:"candidates"`
}

// ExplainedCandidate is one upstream in the candidate order of a flow.
type ExplainedCandidate struct {
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	DataCentre string `json:"datacentre"`
	// Distance is the rank of the data centre by distance from the caller's. It is 0
	// for the nearest one, and for all when no caller prefix matches.
	Distance int `json:"distance"`
	Weight   int `json:"weight"`
	// Score is the rendezvous score; lower scores rank first within a distance.
	Score   float64 `json:"score"`
	Leaving bool    `json:"leaving"`
}

// Explain returns the candidates of a flow in order, with the inputs of that
// order. It returns the errors of Classify.
func (v *View) Explain(k flow.Key) (Explanation, error) {
	m, err := v.Classify(k)
	if err != nil {
		return Explanation{}, err
	}
	e := Explanation{Service: m.Service.name}
	if m.Former != nil {
		e.Former = m.Former.name
	}
	if m.DataCentre >= 0 {
		e.DataCentre = v.dataCentreNames[m.DataCentre]
	}
	for _, c := range v.Candidates(nil, m, k) {
		e.Candidates = append(e.Candidates, v.explain(c, m, k.Hash()))
	}
	return e, nil
}

// explain returns the inputs of the rank of one candidate.
func (v *View) explain(c forward.Candidate, m Match, hash uint64) ExplainedCandidate {
	s := v.byID[c.Service]
	for i := range s.pool {
		p := &s.pool[i]
		if p.candidate.Upstream != c.Upstream {
			continue
		}
		e := ExplainedCandidate{
			Upstream: p.upstream.Name,
			Service:  s.name,
			Weight:   p.upstream.EffectiveWeight(),
			Score:    s.score(p, hash),
			Leaving:  c.Leaving,
		}
		if p.dataCentre >= 0 {
			e.DataCentre = v.dataCentreNames[p.dataCentre]
		}
		if distances := v.distancesFrom(m.DataCentre); distances != nil && p.dataCentre >= 0 {
			e.Distance = distances[p.dataCentre]
		}
		return e
	}
	return ExplainedCandidate{}
}
