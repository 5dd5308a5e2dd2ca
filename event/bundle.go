package event

import "go.uber.org/zap/zapcore"

// Events of bundles.
const (
	BundleAccepted   Number = 4001
	BundleStale      Number = 4002
	BundleConflict   Number = 4003
	BundleUnsigned   Number = 4004
	BundleUnanchored Number = 4005
	BundleBroken     Number = 4006
)

func bundleEvents() []Entry {
	return []Entry{
		{
			Number:  BundleAccepted,
			Name:    "bundle-accepted",
			Level:   zapcore.InfoLevel,
			Meaning: "A bundle is in force in this process.",
			Action:  "None.",
		},
		{
			Number:  BundleStale,
			Name:    "bundle-stale",
			Level:   zapcore.WarnLevel,
			Meaning: "A source offered a bundle that is not above the one in force; it was refused. The fields name both hashes.",
			Action:  "Find out why the source lags when it goes on for more than a minute.",
		},
		{
			Number:  BundleConflict,
			Name:    "bundle-conflict",
			Level:   zapcore.ErrorLevel,
			Meaning: "A source offered other content under the number in force; it was refused. The fields name both hashes.",
			Action:  "Roll a bundle with a higher number, and ask the approvers who signed both.",
		},
		{
			Number:  BundleUnsigned,
			Name:    "bundle-unsigned",
			Level:   zapcore.ErrorLevel,
			Meaning: "A bundle was refused, as too few approvers signed it, an unknown one did, or a signature is wrong.",
			Action:  "Run corianderctl bundle verify on what was published, and publish a signed bundle.",
		},
		{
			Number:  BundleUnanchored,
			Name:    "bundle-unanchored",
			Level:   zapcore.ErrorLevel,
			Meaning: "A bundle was refused, as no chain of sign-off policies leads to it from the one that this process trusts.",
			Action:  "Bring the approvers in the process's settings up to date and replace the instance.",
		},
		{
			Number:  BundleBroken,
			Name:    "bundle-broken",
			Level:   zapcore.ErrorLevel,
			Meaning: "A bundle was refused, as its parts are missing, do not match their hashes or cannot be decoded.",
			Action:  "Publish it again, parts before the head; the bundle in force stays.",
		},
	}
}
