package flow

// Mechanisms that a test can switch off, by name.
var Mechanisms = map[string]mutation{
	"backlog":   mutateKeepBacklog,
	"service":   mutateAnyService,
	"restart":   mutateForgetRestart,
	"fence":     mutateNoFence,
	"ask":       mutateAlwaysSure,
	"walk":      mutateNoWalk,
	"memory":    mutateNoMemory,
	"ack":       mutateAnyAck,
	"leaving":   mutateAcceptLeaving,
	"tombstone": mutateNoTombstone,
	"rerank":    mutateNoRerank,
	"detour":    mutateNoDetour,
	"takeover":  mutateNoTakeover,
	"hint":      mutateNoHint,
}

// Disable switches a mechanism off. It is to be called before the first event.
func (s *Sidecar) Disable(name string) {
	s.mutations |= Mechanisms[name]
}
