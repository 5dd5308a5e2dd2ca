package bundle

import "github.com/cockroachdb/errors"

// Refusal is why a bundle was not accepted, for events and counters.
type Refusal int

// The reasons, each with the errors that it stands for.
const (
	// RefusedInvalid is for every error that none of the others stands for: parts
	// that are missing, do not match or cannot be decoded, and content with faults.
	RefusedInvalid Refusal = iota
	// RefusedStale is for *StaleError.
	RefusedStale
	// RefusedConflict is for *ConflictError.
	RefusedConflict
	// RefusedUnsigned is for *ApproversError, *UnknownSignerError and *SignatureError.
	RefusedUnsigned
	// RefusedUnanchored is for *AnchorError.
	RefusedUnanchored
)

// RefusalOf returns the reason that err stands for. Err is not nil.
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

// String returns the reason in one word.
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
