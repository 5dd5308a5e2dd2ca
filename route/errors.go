package route

import (
	"fmt"

	"github.com/corianderbay/corianderbay/flow"
)

// UnknownAddressError reports a packet to an address that no service has.
type UnknownAddressError struct {
	Key flow.Key
}

// Error returns the flow.
func (e *UnknownAddressError) Error() string {
	return fmt.Sprintf("route: no service has the address of flow %s", e.Key)
}

// DeniedError reports a caller that no rule lets reach the service.
type DeniedError struct {
	Key     flow.Key
	Service string
}

// Error returns the flow and the service.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("route: the rules of service %s deny flow %s", e.Service, e.Key)
}
