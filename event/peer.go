package event

import "go.uber.org/zap/zapcore"

// Events of control between processes and with the platform.
const (
	PlatformUnreachable Number = 5001
	PeerRefused         Number = 5002
	CertificateExpiring Number = 5003
	CredentialsUnusable Number = 5004
	StateChanged        Number = 5005
	ListAdopted         Number = 5006
)

func peerEvents() []Entry {
	return []Entry{
		{
			Number:  PlatformUnreachable,
			Name:    "platform-unreachable",
			Level:   zapcore.WarnLevel,
			Meaning: "The platform did not answer; the process works on with the bundle that it has.",
			Action:  "See the page on a platform outage in docs/OPERATIONS.md.",
		},
		{
			Number:  PeerRefused,
			Name:    "peer-refused",
			Level:   zapcore.WarnLevel,
			Meaning: "A connection with a peer failed its certificate, its name or the protocol version.",
			Action:  "Compare the certificates and the versions of both processes.",
		},
		{
			Number:  CertificateExpiring,
			Name:    "certificate-expiring",
			Level:   zapcore.WarnLevel,
			Meaning: "The certificate towards peers expires soon.",
			Action:  "Put a new certificate and key in the files; the process reads them without a restart.",
		},
		{
			Number:  CredentialsUnusable,
			Name:    "credentials-unusable",
			Level:   zapcore.ErrorLevel,
			Meaning: "Changed certificate files could not be read; the ones read before stay in use.",
			Action:  "Correct the files that the error names.",
		},
		{
			Number:  StateChanged,
			Name:    "state-changed",
			Level:   zapcore.InfoLevel,
			Meaning: "The process became ready, or asks what is in force, or is isolated.",
			Action:  "When it stays isolated, look for a network partition around the process.",
		},
		{
			Number:  ListAdopted,
			Name:    "list-adopted",
			Level:   zapcore.InfoLevel,
			Meaning: "A newer instance list is in use.",
			Action:  "None.",
		},
	}
}
