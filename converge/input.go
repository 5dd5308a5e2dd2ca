package converge

// An Input tells a Member what happened: Tick, Connected, Disconnected,
// DigestReceived, Offered, Fetched, FetchFailed, ListOffered,
// PlatformAnswered or PlatformFailed.
type Input interface{ input() }

// Tick drives everything that depends on time. It is due each TickInterval.
type Tick struct{}

// Connected reports a connection to a peer, whoever dialled it.
type Connected struct{ Peer string }

// Disconnected reports a connection that ended or a dial that failed.
type Disconnected struct {
	Peer string
	// Graceful is true when the peer closed the connection on purpose.
	Graceful bool
}

// DigestReceived reports what a connected peer told.
type DigestReceived struct {
	Peer   string
	Digest Digest
}

// BundleOffered reports a bundle that the platform holds.
type BundleOffered struct{ Version Version }

// BundleChecked reports the outcome of the checks on a fetched bundle.
type BundleChecked struct {
	// Peer is the source, or FromPlatform.
	Peer    string
	Version Version
	// Valid is true when the signatures and the content passed every check.
	Valid bool
}

// FetchFailed reports a document that the source did not deliver.
type FetchFailed struct {
	Peer    string
	Kind    Kind
	Version Version
}

// ListOffered reports a whole instance list, from the platform or a peer.
type ListOffered struct {
	// Peer is the source, or FromPlatform.
	Peer    string
	Version Version
	Peers   []Peer
}

// PlatformAnswered reports a call that the platform answered.
type PlatformAnswered struct{}

// PlatformFailed reports a call that the platform did not answer.
type PlatformFailed struct{}

// FromPlatform stands in place of a peer's name for what the platform delivered.
const FromPlatform = ""

func (Tick) input()             {}
func (Connected) input()        {}
func (Disconnected) input()     {}
func (DigestReceived) input()   {}
func (BundleOffered) input()    {}
func (BundleChecked) input()    {}
func (FetchFailed) input()      {}
func (ListOffered) input()      {}
func (PlatformAnswered) input() {}
func (PlatformFailed) input()   {}
