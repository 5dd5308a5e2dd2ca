package event

import "go.uber.org/zap/zapcore"

// Events of bundles.
const (
	BundleAccepted Number = 4001
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
	}
}
