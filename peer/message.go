package peer

import (
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/vmihailenco/msgpack/v5"
)

// The range of protocol versions that this process supports.
const (
	oldestProtocol = 1
	newestProtocol = 1
)

const (
	maxNameLength = 255       // bytes
	maxSections   = 100_000   // per document
	chunkSize     = 128 << 10 // bytes of section bodies per message
)

// A Message is the content of a frame: Hello, Digest, Want, Table, Changes,
// Sections, Refusal or Close.
type Message interface {
	message() messageType
	// check returns *MessageError when a field is out of range.
	check() error
}

type messageType uint8

const (
	typeHello    messageType = 1
	typeDigest   messageType = 2
	typeWant     messageType = 3
	typeTable    messageType = 4
	typeChanges  messageType = 5
	typeSections messageType = 6
	typeRefusal  messageType = 7
	typeClose    messageType = 8
)

// Hello is the first message in each direction.
type Hello struct {
	// Oldest and Newest bound the protocol versions that the sender supports.
	Oldest uint64 `msgpack:"oldest"`
	Newest uint64 `msgpack:"newest"`
	// Name is the name of the sender in the instance list.
	Name       string `msgpack:"name"`
	DataCentre string `msgpack:"datacentre"`
}

// Version identifies a version of a document, as converge.Version does. It is
// encoded as an array.
type Version struct {
	Sequence uint64
	// Hash has converge.HashSize bytes; it is empty when Sequence is 0.
	Hash []byte
}

// Digest summarizes the state of the sender, see converge.Digest. It is encoded
// as an array.
type Digest struct {
	InForce Version
	Pending Version
	List    Version
	// Origin is the name of the process that received the most recent known answer from the platform.
	Origin string
	// Age is the time in milliseconds since that answer.
	Age     uint64
	Request uint64
	Reply   uint64
}

// Want requests a document.
type Want struct {
	Kind converge.Kind `msgpack:"kind"`
	// Version is the requested version.
	Version Version `msgpack:"version"`
	// Base is the version that the sender holds, or zero.
	Base Version `msgpack:"base"`
	// HasTable is true if the sender has received the Table and sets Names.
	HasTable bool `msgpack:"listed,omitempty"`
	// Names are the sections that the sender lacks according to the Table.
	Names []string `msgpack:"names,omitempty"`
}

// Table lists the hashes of all sections of a document. It replies to a Want
// whose Base the sender has no record of.
type Table struct {
	Kind    converge.Kind `msgpack:"kind"`
	Version Version       `msgpack:"version"`
	Names   []string      `msgpack:"names"`
	// Hashes has tableHashSize bytes for each of Names, in the same order.
	Hashes []byte `msgpack:"hashes"`
}

// Changes starts the transfer of a document: of the sections that differ from
// Base, or of all when Base is zero.
type Changes struct {
	Kind    converge.Kind `msgpack:"kind"`
	Version Version       `msgpack:"version"`
	Base    Version       `msgpack:"base"`
	// Head is the part of the document outside its sections.
	Head []byte `msgpack:"head"`
	// Removed are the sections of Base that the document lacks.
	Removed []string `msgpack:"removed,omitempty"`
	// Count is the number of sections that follow in Sections messages.
	Count int `msgpack:"count"`
}

// Sections contains sections of the document whose transfer Changes started.
type Sections struct {
	Kind    converge.Kind `msgpack:"kind"`
	Version Version       `msgpack:"version"`
	Names   []string      `msgpack:"names"`
	Bodies  [][]byte      `msgpack:"bodies"`
}

// Refusal replies to a Want for a document that the sender does not hold.
type Refusal struct {
	Kind    converge.Kind `msgpack:"kind"`
	Version Version       `msgpack:"version"`
}

// Close announces a graceful close. A peer that sends it is not suspected.
type Close struct{}

func (Hello) message() messageType    { return typeHello }
func (Digest) message() messageType   { return typeDigest }
func (Want) message() messageType     { return typeWant }
func (Table) message() messageType    { return typeTable }
func (Changes) message() messageType  { return typeChanges }
func (Sections) message() messageType { return typeSections }
func (Refusal) message() messageType  { return typeRefusal }
func (Close) message() messageType    { return typeClose }

func (m Hello) check() error {
	if m.Name == "" || len(m.Name) > maxNameLength {
		return &MessageError{Message: "hello", Field: "name"}
	}
	if m.DataCentre == "" || len(m.DataCentre) > maxNameLength {
		return &MessageError{Message: "hello", Field: "datacentre"}
	}
	if m.Oldest > m.Newest {
		return &MessageError{Message: "hello", Field: "oldest"}
	}
	return nil
}

func (m Digest) check() error {
	if len(m.Origin) > maxNameLength {
		return &MessageError{Message: "digest", Field: "origin"}
	}
	return checkVersions("digest", m.InForce, m.Pending, m.List)
}

func (m Want) check() error {
	if len(m.Names) > maxSections {
		return &MessageError{Message: "want", Field: "names"}
	}
	return checkDocument("want", m.Kind, m.Version, m.Base)
}

func (m Table) check() error {
	if len(m.Names) > maxSections || len(m.Hashes) != len(m.Names)*tableHashSize {
		return &MessageError{Message: "table", Field: "hashes"}
	}
	return checkDocument("table", m.Kind, m.Version)
}

func (m Changes) check() error {
	if m.Count < 0 || m.Count > maxSections {
		return &MessageError{Message: "changes", Field: "count"}
	}
	return checkDocument("changes", m.Kind, m.Version, m.Base)
}

func (m Sections) check() error {
	if len(m.Names) == 0 || len(m.Names) != len(m.Bodies) {
		return &MessageError{Message: "sections", Field: "names"}
	}
	return checkDocument("sections", m.Kind, m.Version)
}

func (m Refusal) check() error { return checkDocument("refusal", m.Kind, m.Version) }

func (Close) check() error { return nil }

func checkDocument(message string, kind converge.Kind, versions ...Version) error {
	if kind != converge.KindBundle && kind != converge.KindList {
		return &MessageError{Message: message, Field: "kind"}
	}
	if versions[0].Sequence == 0 {
		return &MessageError{Message: message, Field: "version"}
	}
	return checkVersions(message, versions...)
}

func checkVersions(message string, versions ...Version) error {
	for _, v := range versions {
		if v.Sequence == 0 && len(v.Hash) == 0 || v.Sequence > 0 && len(v.Hash) == converge.HashSize {
			continue
		}
		return &MessageError{Message: message, Field: "hash"}
	}
	return nil
}

// wireVersion converts v to its form in messages.
func wireVersion(v converge.Version) Version {
	if v.IsZero() {
		return Version{}
	}
	return Version{Sequence: v.Sequence, Hash: v.Hash[:]}
}

// toConverge converts v, which must have passed checkVersions.
func (v Version) toConverge() converge.Version {
	out := converge.Version{Sequence: v.Sequence}
	copy(out.Hash[:], v.Hash)
	return out
}

// EncodeMsgpack encodes the version as an array, which keeps the frequently sent digests small.
func (v Version) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeArray(enc, v.Sequence, v.Hash)
}

// DecodeMsgpack decodes the version from an array and checks the number of its elements.
func (v *Version) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeArray(dec, "version", &v.Sequence, &v.Hash)
}

// EncodeMsgpack encodes the digest as an array.
func (m Digest) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeArray(enc, m.InForce, m.Pending, m.List, m.Origin, m.Age, m.Request, m.Reply)
}

// DecodeMsgpack decodes the digest from an array and checks the number of its elements.
func (m *Digest) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeArray(dec, "digest", &m.InForce, &m.Pending, &m.List, &m.Origin, &m.Age, &m.Request, &m.Reply)
}

func encodeArray(enc *msgpack.Encoder, fields ...any) error {
	if err := enc.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return enc.EncodeMulti(fields...)
}

func decodeArray(dec *msgpack.Decoder, message string, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != len(fields) {
		return &MessageError{Message: message, Field: "length"}
	}
	return dec.DecodeMulti(fields...)
}

// decodeMessage decodes and validates a message of type t.
func decodeMessage(t messageType, body []byte) (Message, error) {
	switch t {
	case typeHello:
		return decodeAs[Hello](body)
	case typeDigest:
		return decodeAs[Digest](body)
	case typeWant:
		return decodeAs[Want](body)
	case typeTable:
		return decodeAs[Table](body)
	case typeChanges:
		return decodeAs[Changes](body)
	case typeSections:
		return decodeAs[Sections](body)
	case typeRefusal:
		return decodeAs[Refusal](body)
	case typeClose:
		return decodeAs[Close](body)
	}
	return nil, &MessageError{Message: "frame", Field: "type"}
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := wire.Decode(body, &m); err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}
