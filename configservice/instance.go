package configservice

import (
	"encoding/json"
	"net/netip"
)

// Role is what a process of the system does.
type Role string

// The roles of instances.
const (
	RoleBalancer Role = "balancer"
	RoleSidecar  Role = "sidecar"
)

// State is where an instance stands in its life as the platform sees it.
type State string

// The states of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one process of the system in the platform's list.
type Instance struct {
	// Name is unique in a list and not empty.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// DataCentre names the data centre that the instance runs in.
	DataCentre string `json:"datacentre"`
	// Control is the TCP address for peers.
	Control netip.AddrPort `json:"control"`
	// Forward is the UDP address for forwarded packets.
	Forward netip.AddrPort `json:"forward"`
	// Operator is the HTTP address for operators.
	Operator netip.AddrPort `json:"operator"`
	State    State          `json:"state"`
}

// Check reports *InstanceError when a field is out of its range.
func (i Instance) Check() error {
	switch {
	case i.Name == "":
		return &InstanceError{Field: "name"}
	case i.Role != RoleBalancer && i.Role != RoleSidecar:
		return &InstanceError{Name: i.Name, Field: "role"}
	case i.DataCentre == "":
		return &InstanceError{Name: i.Name, Field: "datacentre"}
	case !i.Control.IsValid():
		return &InstanceError{Name: i.Name, Field: "control"}
	case i.State != StateLive && i.State != StateLeaving:
		return &InstanceError{Name: i.Name, Field: "state"}
	}
	return nil
}

// InstanceList is one version of the platform's list. It lags behind what runs.
type InstanceList struct {
	// Index grows with each change of the list.
	Index uint64 `json:"index"`
	// Instances are unique by name.
	Instances []Instance `json:"instances"`
}

// UnmarshalJSON decodes and checks the list.
func (l *InstanceList) UnmarshalJSON(b []byte) error {
	type plain InstanceList
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return &DecodeError{What: "instances", Cause: err}
	}
	seen := make(map[string]struct{}, len(p.Instances))
	for _, i := range p.Instances {
		if err := i.Check(); err != nil {
			return err
		}
		if _, ok := seen[i.Name]; ok {
			return &InstanceError{Name: i.Name, Field: "name"}
		}
		seen[i.Name] = struct{}{}
	}
	*l = InstanceList(p)
	return nil
}
