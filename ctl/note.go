package ctl

import (
	"fmt"

	"github.com/corianderbay/corianderbay/bundle"
)

// bundleNotes returns warnings about valid content that may be unintended.
func bundleNotes(b *bundle.Bundle) []string {
	var notes []string
	if 2*b.SignOff.Need <= len(b.SignOff.Approvers) {
		notes = append(notes, "no more than half of the approvers must sign, so two bundles with the same sequence number could be signed")
	}
	for _, s := range b.Services {
		if len(s.Addresses) == 0 {
			continue
		}
		if len(s.Rules) == 0 {
			notes = append(notes, fmt.Sprintf("service %s has no rule, so it denies every caller", s.Name))
		}
		if !acceptsFlows(s) {
			notes = append(notes, fmt.Sprintf("service %s has no upstream that takes new flows", s.Name))
		}
	}
	return notes
}

// acceptsFlows reports whether the service has an upstream that is not leaving.
func acceptsFlows(s bundle.Service) bool {
	for _, p := range s.Places {
		for _, u := range p.Upstreams {
			if !u.Leaving {
				return true
			}
		}
	}
	return false
}
