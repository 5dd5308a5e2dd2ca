package eventlog

import (
	"fmt"
	"strings"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/registry"
)

// Describe returns a sentence that describes the event of a line.
func Describe(l Line) string {
	switch l.Event {
	case event.FlowOpened:
		return fmt.Sprintf("sends the opening of %s to %s, which has %d flows and %d requests as of %s ago; %s",
			flowName(l), l.Upstream, l.Flows, l.Active, formatSeconds(l.LoadAge), decisionBasis(l))
	case event.PacketPassed:
		return fmt.Sprintf("passes a packet of %s on to %s since %s, after %d hosts%s; %s", flowName(l), l.Next, reasonText(l.Reason), l.Visited, placedBy(l), decisionBasis(l))
	case event.FlowRefused:
		return fmt.Sprintf("resets %s since %s; %s", flowName(l), reasonText(l.Reason), decisionBasis(l))
	case event.PacketDropped:
		return fmt.Sprintf("drops a packet of %s since %s; %s", flowName(l), reasonText(l.Reason), decisionBasis(l))
	case event.UpstreamReset:
		return fmt.Sprintf("forwards a reset of %s that the upstream itself sent", flowName(l))
	case event.RoutesAdopted:
		return fmt.Sprintf("adopts routes %d and upstreams of revision %s%s", l.Version, storeState(l.Era, l.Revision), updateSource(l))
	case event.EraBegan:
		return fmt.Sprintf("detects that the store went back from revision %s to %s, which has older data for %d keys%s",
			storeState(l.PreviousEra, l.PreviousRevision), storeState(l.Era, l.Revision), l.StaleKeys, updateSource(l))
	case event.EvacuationBegan:
		return fmt.Sprintf("opens no flows in data centre %s any more, which is evacuated; %s", l.Evacuated, decisionBasis(l))
	case event.EvacuationEnded:
		return fmt.Sprintf("opens flows in data centre %s again; %s", l.Evacuated, decisionBasis(l))
	case event.PeerSilent:
		if l.Stopping {
			return fmt.Sprintf("is notified that %s %s is stopping", l.Role, l.Peer)
		}
		return fmt.Sprintf("has not heard %s %s for %s", l.Role, l.Peer, formatSeconds(l.Age))
	case event.PeerHeard:
		return fmt.Sprintf("receives heartbeats of %s %s again", l.Role, l.Peer)
	case event.PeerStarted:
		return fmt.Sprintf("detects that %s %s has started", l.Role, l.Peer)
	case event.ProcessWoke:
		return fmt.Sprintf("resumes after a pause of %s", formatSeconds(l.Gap))
	case event.ProcessAlone:
		if l.Isolated {
			return "receives no heartbeats of sidecars any more"
		}
		return "receives heartbeats of sidecars again"
	case event.LinesOmitted:
		return fmt.Sprintf("omitted %d lines from its log", l.Lines)
	}
	return describeOther(l)
}

// describeOther describes an event for which Describe has no sentence: it returns
// the words of its name, with the number of flows and the error if there are any.
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

// placedBy returns by which other routes than those of the process the balancer sent a packet.
func placedBy(l Line) string {
	if l.Placed == 0 || l.Placed == l.Version {
		return ""
	}
	return fmt.Sprintf(", sent by routes %d", l.Placed)
}

// decisionBasis describes the state on which the process based its decision.
func decisionBasis(l Line) string {
	if l.Version == 0 && l.Revision == 0 {
		return "nothing was known yet"
	}
	return fmt.Sprintf("known: routes %d, upstreams of revision %s, store heard of %s ago", l.Version, storeState(l.Era, l.Revision), formatSeconds(l.StoreAge))
}

// storeState returns the text form of a revision of the store.
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

// reasonText returns the description of a reason why a packet was not delivered.
func reasonText(name string) string {
	switch name {
	case "starting":
		return "routes and upstreams are not known yet"
	case "invalid":
		return "it is invalid in this direction"
	case "no_route":
		return "no route leads to the address"
	case "no_upstream":
		return "no upstream of the service can take it"
	case "forgotten":
		return "the upstream no longer holds it"
	case "unknown_flow":
		return "no reachable upstream holds it"
	case "visits":
		return "it was passed on too many times"
	case "lost":
		return "the sidecar of its upstream is gone"
	case "returned":
		return "the upstream returned it"
	case "other_service":
		return "the upstream serves another service"
	case "silent":
		return "the upstream does not respond"
	case "failing":
		return "the upstream resets or does not answer requests"
	case "leaving":
		return "the upstream is draining"
	case "full":
		return "the upstream has reached its limit of flows"
	case "route":
		return "the routes do not permit it here"
	case "crowded":
		return "more requests wait here than there"
	case "window":
		return "the upstream is ramping up and has as many requests as it may, and another accepts the flow"
	case "late":
		return "it waited while the process stood still"
	case "passed":
		return "its opening was passed on there"
	case "evacuated":
		return "its data centre, or each one with upstreams of the service, is evacuated"
	case "cold":
		return "the upstream is cold and has as many new flows as its service's rate permits"
	case "home":
		return "the upstream, or each one that would take it, is outside the route's home regions"
	case "not_confirmed":
		return "the caller confirmed another upstream's answer"
	case "timeout":
		return "its answer would come after the route's timeout"
	case "priority":
		return "the service is overloaded and more important routes fill it"
	case "share":
		return "the service is overloaded and the caller's prefix has more than its fair share"
	case "retry":
		return "the service is overloaded, the caller was just refused, and the route's retry budget is spent"
	}
	return "of " + name
}
