package converge

// An Input is an event for a Member: Tick, Connected, Disconnected,
// DigestReceived, BundleOffered, BundleChecked, FetchFailed, ListOffered,
// PlatformAnswered or PlatformFailed.
type Input interface{ input() }

// Tick triggers the actions that depend on time. It is due every TickInterval.
type Tick struct{}

// Connected reports a new connection to a peer, no matter which side dialled.
type Connected struct{ Peer string }

// Disconnected reports a connection that ended or a dial that failed.
type Disconnected struct {
	Peer string
	// Graceful is true if the peer announced the close.
	Graceful bool
}

// DigestReceived reports a digest from a connected peer.
type DigestReceived struct {
	Peer   string
	Digest Digest
}

// BundleOffered reports the bundle that the platform holds.
type BundleOffered struct{ Version Version }

// BundleChecked reports that a bundle was fetched and verified.
type BundleChecked struct {
	// Peer is the source, or FromPlatform.
	Peer    string
	Version Version
	// Valid is true if the signatures and the content passed all checks.
	Valid bool
}

// FetchFailed reports that the source did not deliver a document.
type FetchFailed struct {
	Peer    string
	Kind    Kind
	Version Version
}

// ListOffered reports a complete instance list from the platform or a peer.
type ListOffered struct {
	// Peer is the source, or FromPlatform.
	Peer    string
	Version Version
	Peers   []Peer
}

// PlatformAnswered reports a successful call to the platform.
type PlatformAnswered struct{}

// PlatformFailed reports a failed call to the platform.
type PlatformFailed struct{}

// FromPlatform is used in place of a peer's name when the platform is the source.
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
