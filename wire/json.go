package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"

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

// DecodeFields calls field for each field of a JSON object, with the text of its value. What is
// no I-JSON inside a value is left to the decoding of that value, so that one odd element of a
// list costs itself alone. It returns *DecodeError, also for a name that is given twice, or the
// error of field.
func DecodeFields(b []byte, field func(name string, value []byte) error) error {
	dec := newLooseDecoder(b)
	if err := expect(dec, jsontext.KindBeginObject); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for dec.PeekKind() == jsontext.KindString {
		token, err := dec.ReadToken()
		if err != nil {
			return &DecodeError{Cause: err}
		}
		name := token.String()
		if seen[name] {
			return &DecodeError{Cause: &NameError{Name: name}}
		}
		seen[name] = true
		value, err := dec.ReadValue()
		if err != nil {
			return &DecodeError{Cause: err}
		}
		if err := field(name, value); err != nil {
			return err
		}
	}
	return end(dec, jsontext.KindEndObject)
}

// DecodeElements calls element for each element of a JSON list, as DecodeFields does for fields.
// It returns *DecodeError.
func DecodeElements(b []byte, element func(value []byte)) error {
	dec := newLooseDecoder(b)
	if err := expect(dec, jsontext.KindBeginArray); err != nil {
		return err
	}
	for k := dec.PeekKind(); k != jsontext.KindEndArray && k != jsontext.KindInvalid; k = dec.PeekKind() {
		value, err := dec.ReadValue()
		if err != nil {
			return &DecodeError{Cause: err}
		}
		element(value)
	}
	return end(dec, jsontext.KindEndArray)
}

// newLooseDecoder returns a decoder that checks the syntax alone. It does not change b.
func newLooseDecoder(b []byte) *jsontext.Decoder {
	return jsontext.NewDecoder(bytes.NewBuffer(b), jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true))
}

// expect reads a token of a kind.
func expect(dec *jsontext.Decoder, want jsontext.Kind) error {
	token, err := dec.ReadToken()
	if err == nil && token.Kind() != want {
		err = &KindError{Want: want.String(), Got: token.Kind().String()}
	}
	if err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// end reads the last token of a text.
func end(dec *jsontext.Decoder, want jsontext.Kind) error {
	if err := expect(dec, want); err != nil {
		return err
	}
	if _, err := dec.ReadToken(); !errors.Is(err, io.EOF) {
		return &DecodeError{Cause: &TrailingError{}}
	}
	return nil
}

// NameError reports a field that is given twice.
type NameError struct {
	Name string
}

func (e *NameError) Error() string { return fmt.Sprintf("field %q is given twice", e.Name) }

// KindError reports a JSON value of another kind, such as a list in place of an object.
type KindError struct {
	Want string
	Got  string
}

func (e *KindError) Error() string { return e.Got + " is given where " + e.Want + " is needed" }

// TrailingError reports bytes after a JSON value.
type TrailingError struct{}

func (e *TrailingError) Error() string { return "more than one value" }
