package flow

import "strings"

// Mechanisms maps names to the mechanisms that a test can disable.
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

// Disable disables the mechanisms in a comma-separated list of names. Call it before the first event.
func (s *Sidecar) Disable(names string) {
	for name := range strings.SplitSeq(names, ",") {
		s.mutations |= Mechanisms[name]
	}
}
