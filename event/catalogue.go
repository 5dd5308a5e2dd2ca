package event

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// Number identifies an event. Numbers are never used again for another meaning.
// Each file of this package holds one range of a thousand.
type Number int

// Entry describes one event for the people on call.
type Entry struct {
	Number Number
	// Name is a short lower-case name with hyphens, unique in the catalogue.
	Name  string
	Level zapcore.Level
	// Meaning says what happened in one sentence.
	Meaning string
	// Action says what the operator does in one sentence.
	Action string
}

// Catalogue returns every event in the order of the numbers.
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
