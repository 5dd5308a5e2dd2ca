package flow

// A mutation is a set of mechanisms that a test switches off.
type mutation uint32

const (
	mutateKeepBacklog   mutation = 1 << iota // ignore that the process was paused
	mutateAnyService                         // deliver whatever service the candidate entry names
	mutateIgnoreRestart                      // accept unknown flows right after a restart
	mutateNoFence                            // deliver while no peer hears the sidecar
	mutateNoSearch                           // accept without asking the other candidates
	mutateNoWalk                             // treat a packet of an unknown flow as broken at once
	mutateNoPassedEntry                      // forget which flows were passed on
	mutateAnyAck                             // let a half-open flow capture every packet
	mutateAcceptLeaving                      // accept new flows while leaving
	mutateNoTombstone                        // forget refusals
	mutateNoRerank                           // keep the candidates of an older bundle
	mutateNoDetour                           // never pass by the first candidate
	mutateNoTakeover                         // wait for gone upstreams for ever
	mutateNoHint                             // never send a hint
)

func (m mutation) has(one mutation) bool {
	return m&one != 0
}
