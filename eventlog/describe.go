package eventlog

import (
	"fmt"
	"strings"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/registry"
)

// Describe says in a sentence what a line tells.
func Describe(l Line) string {
	switch l.Event {
	case event.FlowOpened:
		return fmt.Sprintf("sends the opening of %s to %s, which has %d flows and %d requests as of %s ago; %s",
			flowName(l), l.Upstream, l.Flows, l.Active, formatSeconds(l.LoadAge), decisionBasis(l))
	case event.PacketPassed:
		return fmt.Sprintf("passes a packet of %s on to %s since %s, after %d hosts; %s", flowName(l), l.Next, reasonText(l.Reason), l.Visited, decisionBasis(l))
	case event.FlowRefused:
		return fmt.Sprintf("resets %s since %s; %s", flowName(l), reasonText(l.Reason), decisionBasis(l))
	case event.PacketDropped:
		return fmt.Sprintf("drops a packet of %s since %s; %s", flowName(l), reasonText(l.Reason), decisionBasis(l))
	case event.UpstreamReset:
		return fmt.Sprintf("hands on a reset of %s by the upstream itself", flowName(l))
	case event.RoutesAdopted:
		return fmt.Sprintf("takes over routes %d and upstreams of revision %s%s", l.Version, storeState(l.Era, l.Revision), updateSource(l))
	case event.EraBegan:
		return fmt.Sprintf("learns that the store went back from revision %s to %s, which lacks what was known of %d keys%s",
			storeState(l.Before, l.Lost), storeState(l.Era, l.Revision), l.Doubtful, updateSource(l))
	case event.PeerSilent:
		if l.Stopping {
			return fmt.Sprintf("learns that %s %s stops", l.Role, l.Peer)
		}
		return fmt.Sprintf("has not heard %s %s for %s", l.Role, l.Peer, formatSeconds(l.Age))
	case event.PeerHeard:
		return fmt.Sprintf("hears %s %s again", l.Role, l.Peer)
	case event.PeerStarted:
		return fmt.Sprintf("hears that %s %s has started", l.Role, l.Peer)
	case event.ProcessWoke:
		return fmt.Sprintf("wakes from a pause of %s", formatSeconds(l.Gap))
	case event.ProcessAlone:
		if l.Alone {
			return "hears no sidecar any more"
		}
		return "hears sidecars again"
	case event.LinesOmitted:
		return fmt.Sprintf("left %d lines out of its log", l.Lines)
	}
	return describeOther(l)
}

// describeOther says what a line tells by its name.
func describeOther(l Line) string {
	text := strings.ReplaceAll(l.Name, "-", " ")
	if l.Flows > 0 {
		text += fmt.Sprintf(" (%d flows)", l.Flows)
	}
	if l.Error != "" {
		text += ": " + l.Error
	}
	return text
}

func flowName(l Line) string {
	return l.Caller + " > " + l.Address
}

// decisionBasis says what the decision rested on.
func decisionBasis(l Line) string {
	if l.Version == 0 && l.Revision == 0 {
		return "nothing was known yet"
	}
	return fmt.Sprintf("known: routes %d, upstreams of revision %s, store heard of %s ago", l.Version, storeState(l.Era, l.Revision), formatSeconds(l.StoreAge))
}

// storeState names a state of the store.
func storeState(era uint32, revision uint64) string {
	return registry.State{Era: registry.Era(era), Revision: revision}.String()
}

func updateSource(l Line) string {
	if l.Peer == "" {
		return " from the store"
	}
	return " from " + l.Peer
}

func formatSeconds(s float64) string {
	return fmt.Sprintf("%.3f s", s)
}

// reasonText says in words why a packet was not delivered.
func reasonText(name string) string {
	switch name {
	case "starting":
		return "routes and upstreams are not known yet"
	case "invalid":
		return "it cannot come from this side"
	case "no_route":
		return "no route leads to the address"
	case "no_upstream":
		return "no upstream of the service can take it"
	case "forgotten":
		return "the upstream no longer holds it"
	case "unknown_flow":
		return "no upstream that can be reached holds it"
	case "visits":
		return "it was passed on too often"
	case "lost":
		return "the sidecar of its upstream is gone"
	case "returned":
		return "the upstream returned it"
	case "other_service":
		return "the upstream serves another service"
	case "silent":
		return "the upstream does not react"
	case "failing":
		return "the upstream resets or does not answer requests"
	case "leaving":
		return "the upstream is draining"
	case "full":
		return "the upstream has as many flows as it may hold"
	case "route":
		return "newer routes do not allow it here"
	case "crowded":
		return "requests wait here and fewer there"
	case "passed":
		return "its opening was passed on to there"
	case "not_confirmed":
		return "the caller confirmed another upstream's answer"
	}
	return "of " + name
}
