package bundle

import "github.com/cockroachdb/errors"

// Refusal is the reason why a bundle was not accepted, for events and counters.
type Refusal int

// The reasons, each with the errors that it covers.
const (
	// RefusedInvalid covers all errors that no other reason covers: parts that are
	// missing, do not match or cannot be decoded, and content with faults.
	RefusedInvalid Refusal = iota
	// RefusedStale covers *StaleError.
	RefusedStale
	// RefusedConflict covers *ConflictError.
	RefusedConflict
	// RefusedUnsigned covers *ApproversError, *UnknownSignerError and
	// *SignatureError.
	RefusedUnsigned
	// RefusedUnanchored covers *AnchorError.
	RefusedUnanchored
)

// RefusalOf returns the reason that covers err, which must not be nil.
func RefusalOf(err error) Refusal {
	var (
		stale     *StaleError
		conflict  *ConflictError
		approvers *ApproversError
		signer    *UnknownSignerError
		signature *SignatureError
		anchor    *AnchorError
	)
	switch {
	case errors.As(err, &stale):
		return RefusedStale
	case errors.As(err, &conflict):
		return RefusedConflict
	case errors.As(err, &approvers), errors.As(err, &signer), errors.As(err, &signature):
		return RefusedUnsigned
	case errors.As(err, &anchor):
		return RefusedUnanchored
	}
	return RefusedInvalid
}

// String returns the reason as a single word.
func (r Refusal) String() string {
	switch r {
	case RefusedStale:
		return "stale"
	case RefusedConflict:
		return "conflict"
	case RefusedUnsigned:
		return "unsigned"
	case RefusedUnanchored:
		return "unanchored"
	}
	return "broken"
}
