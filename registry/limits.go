package registry

import (
	"fmt"
	"time"
	"unicode/utf8"
)

// Limits of what other programs write to the store. They are far beyond what services
// use, and keep sums and conversions in range and lists within one message.
const (
	// MaxNameSize is the maximum length of a name in bytes.
	MaxNameSize = 255
	// MaxSlots is the maximum number of slots of an upstream.
	MaxSlots = 1 << 20
	// MaxWarmup is the maximum remaining time of reduced speed of an upstream.
	MaxWarmup = 24 * time.Hour
	// MaxTimeout is the maximum of all times of routes.
	MaxTimeout = 24 * time.Hour
	// MaxElements is the maximum number of routes, of services, and of the targets and the
	// homes of a route. Receivers of messages reject longer lists.
	MaxElements = 1 << 15
	// MaxStartedAt is the latest start of an upstream: the end of the year 9999, as Unix
	// time in milliseconds.
	MaxStartedAt = 253_402_300_799_999
)

// validName reports whether a name is valid UTF-8 of at most MaxNameSize bytes. It may be empty.
func validName(name string) bool {
	return len(name) <= MaxNameSize && utf8.ValidString(name)
}

// UpstreamError reports a field of an upstream that is out of range.
type UpstreamError struct {
	// Field is the name of the field in messages.
	Field string
}

// Error returns the name of the field.
func (e *UpstreamError) Error() string {
	return fmt.Sprintf("field %s of the upstream is out of range", e.Field)
}

// Check reports *UpstreamError when a field is out of range.
func (u *Upstream) Check() error {
	switch {
	case !validName(u.ID):
		return &UpstreamError{Field: "id"}
	case u.Service == "" || !validName(u.Service):
		return &UpstreamError{Field: "service"}
	case !u.Address.isUnicast():
		return &UpstreamError{Field: "address"}
	case !validName(u.DataCentre):
		return &UpstreamError{Field: "datacentre"}
	case !validName(u.Release):
		return &UpstreamError{Field: "release"}
	case u.Slots < 1 || u.Slots > MaxSlots:
		return &UpstreamError{Field: "slots"}
	case u.Warmup < -MaxWarmup || u.Warmup > MaxWarmup:
		return &UpstreamError{Field: "warmup"}
	case u.StartedAt < 0 || u.StartedAt > MaxStartedAt:
		return &UpstreamError{Field: "born"}
	}
	return nil
}
