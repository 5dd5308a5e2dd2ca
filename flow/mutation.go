package flow

// A mutation is a set of mechanisms that a test disables.
type mutation uint32

const (
	mutateKeepBacklog   mutation = 1 << iota // deliver packets that were queued during a pause
	mutateAnyService                         // ignore the service of the candidate entry
	mutateIgnoreRestart                      // accept unknown flows directly after a restart
	mutateNoFence                            // deliver while no majority confirms the sidecar's reports
	mutateNoSearch                           // accept without a search at the other candidates
	mutateNoWalk                             // treat a packet of an unknown TCP flow as broken immediately
	mutateNoPassedEntry                      // record no target of flows that were passed on
	mutateAnyAck                             // accept any acknowledgement number for a half-open flow
	mutateAcceptLeaving                      // accept new flows while leaving
	mutateNoTombstone                        // record no refusals
	mutateNoRerank                           // keep the candidates of an older bundle
	mutateNoDetour                           // never send packets through the home
	mutateNoTakeover                         // never take over flows of absent upstreams
	mutateNoHint                             // never send a hint
)

func (m mutation) has(one mutation) bool {
	return m&one != 0
}
