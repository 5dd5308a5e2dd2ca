package flow

import "strings"

// Mechanisms that a test can switch off, by name.
var Mechanisms = map[string]mutation{
	"backlog":   mutateKeepBacklog,
	"service":   mutateAnyService,
	"restart":   mutateIgnoreRestart,
	"fence":     mutateNoFence,
	"ask":       mutateNoSearch,
	"walk":      mutateNoWalk,
	"memory":    mutateNoPassedEntry,
	"ack":       mutateAnyAck,
	"leaving":   mutateAcceptLeaving,
	"tombstone": mutateNoTombstone,
	"rerank":    mutateNoRerank,
	"detour":    mutateNoDetour,
	"takeover":  mutateNoTakeover,
	"hint":      mutateNoHint,
}

// Disable switches mechanisms off, named with commas between. It is to be called before the first event.
func (s *Sidecar) Disable(names string) {
	for name := range strings.SplitSeq(names, ",") {
		s.mutations |= Mechanisms[name]
	}
}
