package route

import (
	"fmt"

	"github.com/corianderbay/corianderbay/flow"
)

// UnknownAddressError reports a flow whose address belongs to no service.
type UnknownAddressError struct {
	Key flow.Key
}

// Error returns a message with the flow.
func (e *UnknownAddressError) Error() string {
	return fmt.Sprintf("route: the address of flow %s belongs to no service", e.Key)
}

// DeniedError reports a flow that the rules of the service do not allow.
type DeniedError struct {
	Key     flow.Key
	Service string
}

// Error returns a message with the service and the flow.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("route: the rules of service %s deny flow %s", e.Service, e.Key)
}
