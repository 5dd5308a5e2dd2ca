package bundle

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// MaxText is the maximum size of an authored bundle in bytes.
	MaxText = 8 << 20
	// maxColumn limits the nesting of blocks, because each level is indented.
	maxColumn = 1024
	// maxFlowDepth limits the nesting of flow collections in brackets or braces.
	maxFlowDepth = 16
)

// Parse parses an authored bundle in YAML and checks it. File is the file name
// for errors. Parse fails with *TooLargeError, or with a *FaultsError that holds
// all faults with their files, lines and paths.
func Parse(file string, b []byte) (*Bundle, error) {
	if len(b) > MaxText {
		return nil, &TooLargeError{What: "authored bundle", Size: len(b), Max: MaxText}
	}
	r := &yamlReader{file: file, lines: make(map[string]int)}
	decoded := r.parseDocument(b)
	if decoded == nil {
		return nil, &FaultsError{Faults: r.faults}
	}
	faults := slices.Concat(r.faults, r.fillPositions(checkFaults(decoded)))
	if len(faults) == 0 {
		return decoded, nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Compare(a.position().Line, b.position().Line)
	})
	return nil, &FaultsError{Faults: faults}
}

// parseDocument decodes a YAML document and records faults. It returns nil when
// the text is not a single YAML document.
func (r *yamlReader) parseDocument(b []byte) *Bundle {
	tokens := lexer.Tokenize(string(b))
	if tk := tooDeep(tokens); tk != nil {
		r.faults = append(r.faults, &SyntaxError{Position: r.position("", tk), Message: "nested too deeply"})
		return nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.faults = append(r.faults, r.syntaxFault(err))
		return nil
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		r.faults = append(r.faults, &SyntaxError{Position: Position{File: r.file, Line: 1}, Message: "a bundle must be a single YAML document"})
		return nil
	}
	decoded := new(Bundle)
	r.read(f.Docs[0].Body, "", reflect.ValueOf(decoded).Elem())
	return decoded
}

// syntaxFault converts an error of the YAML parser to a fault.
func (r *yamlReader) syntaxFault(err error) Fault {
	var located yaml.Error
	if errors.As(err, &located) {
		return &SyntaxError{Position: r.position("", located.GetToken()), Message: located.GetMessage()}
	}
	return &SyntaxError{Position: Position{File: r.file, Line: 1}, Message: err.Error()}
}

// tooDeep returns the first token that exceeds the nesting limits, or nil.
func tooDeep(tokens token.Tokens) *token.Token {
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType, token.MappingValueType, token.MappingKeyType:
			if tk.Position.Column > maxColumn {
				return tk
			}
		}
		if depth > maxFlowDepth {
			return tk
		}
	}
	return nil
}
