package fabric

import (
	"encoding/binary"
	"time"
)

// Reason is the cause of a refusal.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonDenied means that no rule allows the caller to reach the service.
	ReasonDenied Reason = 1
	// ReasonLimited means that the caller or the service exceeds its rate limit for new flows.
	ReasonLimited Reason = 2
	// ReasonOverloaded means that no upstream has room in its queue.
	ReasonOverloaded Reason = 3
	// ReasonUnavailable means that no upstream currently accepts the flow.
	ReasonUnavailable Reason = 4
	// ReasonDeadline means that the request cannot finish before its deadline.
	ReasonDeadline Reason = 5
	// ReasonLeaving means that the process is shutting down.
	ReasonLeaving Reason = 6
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonDenied:
		return "denied"
	case ReasonLimited:
		return "limited"
	case ReasonOverloaded:
		return "overloaded"
	case ReasonUnavailable:
		return "unavailable"
	case ReasonDeadline:
		return "deadline"
	case ReasonLeaving:
		return "leaving"
	}
	return "unknown"
}

// MaxRetryAfter is the maximum retry-after of a refusal.
const MaxRetryAfter = time.Hour

// The refusal option is critical, so that a fabric without support for it drops
// the packet instead of delivering it to the caller as an answer.
const (
	optionClass  = 0xff00 // experimental use, RFC 8926 section 7
	refusalType  = 0x81   // the high bit marks a critical option
	criticalType = 0x80

	optionHeaderSize  = 4 // bytes
	refusalDataSize   = 8 // bytes
	refusalOptionSize = optionHeaderSize + refusalDataSize

	flagNotRun = 0x01
)

// Refusal informs a caller that its packet was not accepted.
type Refusal struct {
	// Reason is one of the Reason constants.
	Reason Reason
	// NotRun is true when it is certain that no upstream has run the request.
	NotRun bool
	// RetryAfter is the minimum delay before the caller retries, from 0 to
	// MaxRetryAfter. It is encoded in milliseconds, rounded up.
	RetryAfter time.Duration
}

// Check returns *RefusalError when a field is out of range.
func (r Refusal) Check() error {
	if r.Reason < ReasonDenied || r.Reason > ReasonLeaving {
		return &RefusalError{Field: "reason", Value: uint64(r.Reason)}
	}
	if r.RetryAfter < 0 || r.RetryAfter > MaxRetryAfter {
		return &RefusalError{Field: "retry-after", Value: uint64(r.RetryAfter)}
	}
	return nil
}

// appendOption appends the complete Geneve option. The refusal must be valid.
func (r Refusal) appendOption(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint16(dst, optionClass)
	dst = append(dst, refusalType, refusalDataSize/4)
	var flags byte
	if r.NotRun {
		flags |= flagNotRun
	}
	dst = append(dst, byte(r.Reason), flags, 0, 0)
	ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
	return binary.BigEndian.AppendUint32(dst, uint32(ms))
}

// decodeRefusal decodes the data of a refusal option. It returns *RefusalError for invalid data.
func decodeRefusal(data []byte) (Refusal, error) {
	if len(data) != refusalDataSize {
		return Refusal{}, &RefusalError{Field: "length", Value: uint64(len(data))}
	}
	if data[1]&^flagNotRun != 0 {
		return Refusal{}, &RefusalError{Field: "flags", Value: uint64(data[1])}
	}
	if reserved := binary.BigEndian.Uint16(data[2:]); reserved != 0 {
		return Refusal{}, &RefusalError{Field: "reserved", Value: uint64(reserved)}
	}
	r := Refusal{
		Reason:     Reason(data[0]),
		NotRun:     data[1]&flagNotRun != 0,
		RetryAfter: time.Duration(binary.BigEndian.Uint32(data[4:])) * time.Millisecond,
	}
	return r, r.Check()
}
