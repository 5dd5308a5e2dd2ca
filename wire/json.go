package wire

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// rejectNull rejects null as the value of a field or an element that a Go type has. Fields
// that the type lacks are skipped, whatever they hold.
var rejectNull = json.WithUnmarshalers(json.UnmarshalFromFunc(func(dec *jsontext.Decoder, v any) error {
	if _, raw := v.(*jsontext.Value); !raw && dec.PeekKind() == jsontext.KindNull {
		return &NullError{Type: fmt.Sprintf("%T", v)[1:]} // v points to the value
	}
	return errors.ErrUnsupported
}))

// DecodeJSON decodes a JSON text into v, a pointer. The text must be I-JSON (RFC 7493): one
// value in valid UTF-8, whose objects have no name twice. Names of fields match only when
// they are spelled alike, null matches no type but jsontext.Value, and unknown fields are ignored. Fields
// that are missing leave v unchanged. It returns *DecodeError.
func DecodeJSON(b []byte, v any) error {
	if err := json.Unmarshal(b, v, rejectNull); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// NullError reports null in place of a value.
type NullError struct {
	// Type is the Go type of the missing value.
	Type string
}

func (e *NullError) Error() string { return "null is given where " + e.Type + " is needed" }
