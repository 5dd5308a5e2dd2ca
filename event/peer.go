package event

import "go.uber.org/zap/zapcore"

// Events of the control connections between processes and with the platform.
const (
	PlatformUnreachable Number = 5001
	PeerRefused         Number = 5002
	CertificateExpiring Number = 5003
	CredentialsUnusable Number = 5004
	StateChanged        Number = 5005
	ListAdopted         Number = 5006
	InstanceUnusable    Number = 5007
)

func peerEvents() []Entry {
	return []Entry{
		{
			Number:  PlatformUnreachable,
			Name:    "platform-unreachable",
			Level:   zapcore.WarnLevel,
			Meaning: "The platform did not respond; the process continues with its present bundle.",
			Action:  "See the page on a platform outage in docs/OPERATIONS.md.",
		},
		{
			Number:  PeerRefused,
			Name:    "peer-refused",
			Level:   zapcore.WarnLevel,
			Meaning: "A connection with a peer was refused because of its certificate, its name or the protocol version.",
			Action:  "Compare the certificates and the versions of both processes.",
		},
		{
			Number:  CertificateExpiring,
			Name:    "certificate-expiring",
			Level:   zapcore.WarnLevel,
			Meaning: "The certificate that the process presents to peers expires soon.",
			Action:  "Write a new certificate and key to the files; the process loads them without a restart.",
		},
		{
			Number:  CredentialsUnusable,
			Name:    "credentials-unusable",
			Level:   zapcore.ErrorLevel,
			Meaning: "Changed certificate files could not be loaded; the previous certificates remain in use.",
			Action:  "Correct the files named in the error.",
		},
		{
			Number:  StateChanged,
			Name:    "state-changed",
			Level:   zapcore.InfoLevel,
			Meaning: "The process became ready, started to resynchronise with its peers, or became isolated.",
			Action:  "If it stays isolated, look for a network partition around the process.",
		},
		{
			Number:  ListAdopted,
			Name:    "list-adopted",
			Level:   zapcore.InfoLevel,
			Meaning: "A newer instance list is in use.",
			Action:  "None.",
		},
		{
			Number:  InstanceUnusable,
			Name:    "instance-unusable",
			Level:   zapcore.WarnLevel,
			Meaning: "The platform's instance list has instances that are left out, since they cannot be decoded or have an invalid field; the others are used. The fields hold the number of them and the first error.",
			Action:  "Find out which program wrote the instance.",
		},
	}
}
