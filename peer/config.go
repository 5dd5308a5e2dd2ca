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

// BundleValueName is the name of the platform's value that holds the bundle.
const BundleValueName = "bundle"

// Config holds the settings of a Node.
type Config struct {
	// Name is the process's own name in the instance list.
	Name string
	// DataCentre is where the process runs.
	DataCentre string
	// Listen is the TCP address for peers.
	Listen netip.AddrPort
	// Credentials prove the process to its peers.
	Credentials *Credentials
	// Platform reads what operators publish.
	Platform *configservice.Client
	// Anchor is the sign-off policy that the first bundle is judged by.
	Anchor bundle.SignOff
	// Seeds are peers that are dialled also when no list names them. They may be none.
	Seeds []configservice.Instance
	// OnBundle gets each bundle that comes into force, one after the other,
	// with ever higher sequences. It may be nil.
	OnBundle func(*bundle.Bundle, bundle.Hash)
	// OnList gets each instance list that comes into use. It may be nil.
	OnList func([]configservice.Instance)
	// OnState gets each change of the state. It may be nil.
	OnState func(state converge.State, isolated bool)
	// Converge holds the limits of the decisions. Name, DataCentre, Rand and Seeds are filled in from here.
	Converge converge.Config
	// Timer is the timer service. Nil selects one on the process clock.
	Timer *timer.Service
	// Log gets the events. Nil discards them.
	Log *event.Logger
	// Rand is the source of random choices, used by the Node alone.
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

// check reports *ConfigError when a field is missing.
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
