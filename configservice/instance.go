package configservice

import (
	"net/netip"

	"github.com/corianderbay/corianderbay/wire"
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
	// Rejected has an error for each instance of the platform's list that is left out since
	// it cannot be decoded or has an invalid field.
	Rejected []RejectedError `json:"-"`
}

// UnmarshalJSON decodes the list and leaves out each instance that is invalid. It returns
// *DecodeError, *InstanceError for a duplicate name, or either when all instances are invalid.
func (l *InstanceList) UnmarshalJSON(b []byte) error {
	var list InstanceList
	given := make(map[string]bool)
	err := wire.DecodeFields(b, func(name string, value []byte) error {
		given[name] = true
		switch name {
		case fieldIndex:
			return wire.DecodeJSON(value, &list.Index)
		case fieldInstances:
			return wire.DecodeElements(value, list.appendInstance)
		}
		return nil
	})
	if err == nil && !(given[fieldIndex] && given[fieldInstances]) {
		err = &InstanceError{Field: "index or instances"}
	}
	if err != nil {
		return &DecodeError{What: "instances", Cause: err}
	}
	if err := list.checkNames(); err != nil {
		return err
	}
	if len(list.Rejected) > 0 && len(list.Instances) == 0 {
		return list.Rejected[0].Cause // the list before is better than none
	}
	*l = list
	return nil
}

// The names of the fields of a list.
const (
	fieldIndex     = "index"
	fieldInstances = "instances"
)

// appendInstance decodes an instance and adds it to the valid or to the rejected ones.
func (l *InstanceList) appendInstance(raw []byte) {
	i, err := decodeInstance(raw)
	if err != nil {
		position := len(l.Instances) + len(l.Rejected)
		l.Rejected = append(l.Rejected, RejectedError{Position: position, Cause: err})
		return
	}
	l.Instances = append(l.Instances, i)
}

// checkNames returns *InstanceError for a name that two instances have.
func (l *InstanceList) checkNames() error {
	seen := make(map[string]struct{}, len(l.Instances))
	for _, i := range l.Instances {
		if _, ok := seen[i.Name]; ok {
			return &InstanceError{Name: i.Name, Field: "name"}
		}
		seen[i.Name] = struct{}{}
	}
	return nil
}

// decodeInstance decodes and validates an instance. It returns *DecodeError or *InstanceError.
func decodeInstance(raw []byte) (Instance, error) {
	var i Instance
	if err := wire.DecodeJSON(raw, &i); err != nil {
		return Instance{}, &DecodeError{What: "instance", Cause: err}
	}
	return i, i.Check()
}
