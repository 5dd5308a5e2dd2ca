package converge

// An Output is an action for the caller of Member.Update: Connect, Disconnect,
// Send, Fetch, Activate, AdoptList, ReadPlatform, Conflict, StaleOffer or
// StateChange.
type Output interface{ output() }

// Connect dials a peer.
type Connect struct{ Peer string }

// Disconnect closes the connection to a peer.
type Disconnect struct{ Peer string }

// Send sends a digest to a connected peer.
type Send struct {
	Peer   string
	Digest Digest
}

// Fetch fetches a document from a source and verifies it. The caller reports the
// result as BundleChecked, ListOffered or FetchFailed.
type Fetch struct {
	// Peer is the source, or FromPlatform.
	Peer    string
	Kind    Kind
	Version Version
}

// Activate puts a verified bundle in force.
type Activate struct{ Version Version }

// AdoptList makes an offered instance list the current one.
type AdoptList struct{ Version Version }

// ReadPlatform starts or stops watching the platform.
type ReadPlatform struct{ On bool }

// Conflict reports two versions with the same sequence and different content.
// Have is kept.
type Conflict struct {
	Have, Got Version
	// Peer is the source, or FromPlatform.
	Peer string
}

// StaleOffer reports that the platform offers a bundle below the one in force.
type StaleOffer struct{ Have, Got Version }

// StateChange reports that the state of the process changed.
type StateChange struct {
	State    State
	Isolated bool
}

func (Connect) output()      {}
func (Disconnect) output()   {}
func (Send) output()         {}
func (Fetch) output()        {}
func (Activate) output()     {}
func (AdoptList) output()    {}
func (ReadPlatform) output() {}
func (Conflict) output()     {}
func (StaleOffer) output()   {}
func (StateChange) output()  {}
