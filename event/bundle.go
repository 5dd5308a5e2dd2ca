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
			Meaning: "A new bundle is in force in this process.",
			Action:  "None.",
		},
		{
			Number:  BundleStale,
			Name:    "bundle-stale",
			Level:   zapcore.WarnLevel,
			Meaning: "A source offered a bundle whose sequence is not above that of the bundle in force; it was rejected. The fields hold both hashes.",
			Action:  "If this lasts for more than a minute, find out why the source lags behind.",
		},
		{
			Number:  BundleConflict,
			Name:    "bundle-conflict",
			Level:   zapcore.ErrorLevel,
			Meaning: "A source offered different content under the sequence in force; it was rejected. The fields hold both hashes.",
			Action:  "Roll out a bundle with a higher sequence, and ask the approvers who signed both.",
		},
		{
			Number:  BundleUnsigned,
			Name:    "bundle-unsigned",
			Level:   zapcore.ErrorLevel,
			Meaning: "A bundle was rejected because too few approvers signed it, an unknown approver signed it, or a signature is invalid.",
			Action:  "Run corianderctl bundle verify on the published bundle, and publish a signed one.",
		},
		{
			Number:  BundleUnanchored,
			Name:    "bundle-unanchored",
			Level:   zapcore.ErrorLevel,
			Meaning: "A bundle was rejected because no chain of sign-off policies leads to it from the policy that this process trusts.",
			Action:  "Update the approvers in the settings of the process and replace the instance.",
		},
		{
			Number:  BundleBroken,
			Name:    "bundle-broken",
			Level:   zapcore.ErrorLevel,
			Meaning: "A bundle was rejected because its parts are missing, do not match their hashes or cannot be decoded.",
			Action:  "Publish it again, parts before the head; the bundle in force remains in use.",
		},
	}
}
