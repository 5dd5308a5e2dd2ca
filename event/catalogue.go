package event

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// Number identifies an event. A number is never reused for another event.
// Each file that defines events has a range of a thousand numbers.
type Number int

// Entry describes one event for operators.
type Entry struct {
	Number Number
	// Name is a short lower-case name with hyphens, and unique in the catalogue.
	Name  string
	Level zapcore.Level
	// Meaning describes what happened, in one or two sentences.
	Meaning string
	// Action describes what the operator does, in one sentence.
	Action string
}

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Entry {
	return slices.Concat(
		processEvents(),
		balancerEvents(),
		sidecarEvents(),
		bundleEvents(),
		peerEvents(),
		operatorEvents(),
		edgeEvents(),
	)
}
