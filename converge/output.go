package converge

// An Output is what the edge does next: Connect, Disconnect, Send, Fetch,
// Enforce, Adopt, Read, Conflict, Stale or Change.
type Output interface{ output() }

// Connect dials a peer.
type Connect struct{ Peer string }

// Disconnect closes the connection to a peer.
type Disconnect struct{ Peer string }

// Send tells a connected peer a digest.
type Send struct {
	Peer   string
	Digest Digest
}

// Fetch gets a document from a source and checks it. The answer is Fetched, ListOffered or FetchFailed.
type Fetch struct {
	// Peer is the source, or FromPlatform.
	Peer    string
	Kind    Kind
	Version Version
}

// Activate puts a fetched and checked bundle in force.
type Activate struct{ Version Version }

// AdoptList makes an offered instance list the present one.
type AdoptList struct{ Version Version }

// ReadPlatform starts or ends the watches on the platform.
type ReadPlatform struct{ On bool }

// Conflict reports two contents of one number. Have is kept.
type Conflict struct {
	Have, Got Version
	Peer      string
}

// StaleOffer reports that the platform holds a version below the one in force.
type StaleOffer struct{ Have, Got Version }

// StateChange reports a new state of the process.
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
