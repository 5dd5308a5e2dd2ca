package registry

import (
	"cmp"
	"encoding/binary"
	"strconv"
)

// StateSize is the length of an encoded State in bytes.
const StateSize = 12

// Era counts how often the store was restored from an older copy of itself. It is
// 0 for a store that does not report it.
type Era uint32

// State identifies a state of the store. When an era begins, revisions go back and
// are reused, so they are comparable only within one era.
type State struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are encoded without names
	_msgpack struct{} `msgpack:",as_array"`

	Era Era
	// Revision grows with each change within the era. 0 when there is no state.
	Revision uint64
}

// Compare orders states by era, and within an era by revision.
func (s State) Compare(o State) int {
	if s.Era != o.Era {
		return cmp.Compare(s.Era, o.Era)
	}
	return cmp.Compare(s.Revision, o.Revision)
}

// After reports whether s is newer than o.
func (s State) After(o State) bool {
	return s.Compare(o) > 0
}

// IsZero reports whether s has no revision, as before the first read of the store.
func (s State) IsZero() bool {
	return s.Revision == 0
}

// Latest returns the newer of two states.
func Latest(a, b State) State {
	if b.After(a) {
		return b
	}
	return a
}

// Append appends the encoding of the state in StateSize bytes.
func (s State) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(s.Era))
	return binary.BigEndian.AppendUint64(b, s.Revision)
}

// ParseState decodes the format of Append. b must have at least StateSize bytes.
func ParseState(b []byte) State {
	return State{Era: Era(binary.BigEndian.Uint32(b)), Revision: binary.BigEndian.Uint64(b[4:])}
}

// String returns the revision, preceded by the era and a slash unless the era is 0.
func (s State) String() string {
	revision := strconv.FormatUint(s.Revision, 10)
	if s.Era == 0 {
		return revision
	}
	return strconv.FormatUint(uint64(s.Era), 10) + "/" + revision
}
