package peer

import (
	"math/rand/v2"
	"net/netip"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/timer"
)

// BundleValueName is the name of the platform value that holds the bundle.
const BundleValueName = "bundle"

// Config holds the settings of a Node. Name, DataCentre, Listen, Credentials,
// Platform, Anchor and Rand are required.
type Config struct {
	// Name is the name of this process in the instance list.
	Name string
	// DataCentre is the name of the data centre in which the process runs.
	DataCentre string
	// Listen is the TCP address on which connections from peers are accepted.
	Listen netip.AddrPort
	// Credentials authenticate the process to its peers.
	Credentials *Credentials
	// Platform reads the bundle and the instance list that operators publish.
	Platform *configservice.Client
	// Anchor is the sign-off policy against which the first bundle is verified.
	Anchor bundle.SignOff
	// Seeds are peers that may be dialled even if no instance list contains them. It may be empty.
	Seeds []configservice.Instance
	// OnBundle is called with each bundle that comes into force, sequentially
	// and with strictly increasing sequences. It may be nil.
	OnBundle func(*bundle.Bundle, bundle.Hash)
	// OnList is called with each instance list that is adopted. It may be nil.
	OnList func([]configservice.Instance)
	// OnState is called on each change of the state. It may be nil.
	OnState func(state converge.State, isolated bool)
	// Converge holds the limits and timeouts of package converge. Its Name,
	// DataCentre, Rand and Seeds are overwritten from this Config.
	Converge converge.Config
	// Timer is the timer service. Nil selects a new one with default settings.
	Timer *timer.Service
	// Log receives the events. Nil discards them.
	Log *event.Logger
	// Rand is the source of random choices. The Node must be its only user.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	if c.Timer == nil {
		c.Timer = timer.New(timer.Config{})
	}
	if c.Log == nil {
		c.Log = event.New(event.Config{})
	}
	if c.OnBundle == nil {
		c.OnBundle = func(*bundle.Bundle, bundle.Hash) {}
	}
	if c.OnList == nil {
		c.OnList = func([]configservice.Instance) {}
	}
	if c.OnState == nil {
		c.OnState = func(converge.State, bool) {}
	}
	return c
}

// check returns *ConfigError when a field is missing or too long.
func (c Config) check() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameLength:
		return &ConfigError{Field: "Name"}
	case c.DataCentre == "" || len(c.DataCentre) > maxNameLength:
		return &ConfigError{Field: "DataCentre"}
	case !c.Listen.IsValid():
		return &ConfigError{Field: "Listen"}
	case c.Credentials == nil:
		return &ConfigError{Field: "Credentials"}
	case c.Platform == nil:
		return &ConfigError{Field: "Platform"}
	case c.Rand == nil:
		return &ConfigError{Field: "Rand"}
	}
	return nil
}
