package configservice

import (
	"encoding/json"
	"net/netip"
)

// Role is the function of an instance: balancer or sidecar.
type Role string

// Roles of instances.
const (
	RoleBalancer Role = "balancer"
	RoleSidecar  Role = "sidecar"
)

// State is the lifecycle state that the platform lists for an instance.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one balancer or sidecar process in the platform's list.
type Instance struct {
	// Name is not empty and unique within a list.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// DataCentre is the name of the data centre in which the instance runs.
	DataCentre string `json:"datacentre"`
	// Control is the TCP address at which peers connect.
	Control netip.AddrPort `json:"control"`
	// Forward is the UDP address that receives forwarded packets.
	Forward netip.AddrPort `json:"forward"`
	// Operator is the address of the operators' HTTP endpoint.
	Operator netip.AddrPort `json:"operator"`
	State    State          `json:"state"`
}

// Check returns *InstanceError when a field is missing or out of range.
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

// InstanceList is one version of the platform's list. It may lag behind the
// processes that are actually running.
type InstanceList struct {
	// Index increases with each change of the list.
	Index uint64 `json:"index"`
	// Instances have unique names.
	Instances []Instance `json:"instances"`
}

// UnmarshalJSON decodes the list and validates each instance. It returns
// *DecodeError, or *InstanceError for an invalid instance or a duplicate name.
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
