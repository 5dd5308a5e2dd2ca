package bundle

import (
	"encoding"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// yamlReader decodes YAML nodes into Go values. It records the line of each path
// and continues after a fault, so that one run finds all faults.
type yamlReader struct {
	file   string
	faults []Fault
	lines  map[string]int
}

// position returns the position of the token, or line 1 for a nil token.
func (r *yamlReader) position(path string, tk *token.Token) Position {
	w := Position{File: r.file, Line: 1, Path: path}
	if tk != nil && tk.Position != nil {
		w.Line = tk.Position.Line
	}
	return w
}

// fillPositions sets the file and line of faults that have a path only. It drops
// faults about values that could not be decoded or that are inside such a value.
func (r *yamlReader) fillPositions(faults []Fault) []Fault {
	invalid := make(map[string]bool)
	for _, f := range r.faults {
		switch f.(type) {
		case *TypeError, *RangeError:
			invalid[f.position().Path] = true
		}
	}
	located := faults[:0]
	for _, f := range faults {
		p := f.position()
		if insideAny(invalid, p.Path) {
			continue
		}
		p.File = r.file
		p.Line = r.line(p.Path)
		located = append(located, f)
	}
	return located
}

// line returns the line of the path, or of its nearest ancestor in the document.
func (r *yamlReader) line(path string) int {
	for ; path != ""; path = parentPath(path) {
		if n, ok := r.lines[path]; ok {
			return n
		}
	}
	return 1
}

// insideAny reports whether the path or one of its ancestors is one of paths.
func insideAny(paths map[string]bool, path string) bool {
	for ; path != ""; path = parentPath(path) {
		if paths[path] {
			return true
		}
	}
	return paths[""]
}

func (r *yamlReader) read(n ast.Node, path string, v reflect.Value) {
	tk := n.GetToken()
	r.lines[path] = r.position(path, tk).Line
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.readText(n, path, u)
		return
	}
	if d, ok := v.Addr().Interface().(*time.Duration); ok {
		r.readDuration(n, path, d)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		r.readStruct(n, path, v)
	case reflect.Slice:
		r.readSlice(n, path, v)
	default:
		r.readScalar(n, path, v)
	}
}

func (r *yamlReader) readStruct(n ast.Node, path string, v reflect.Value) {
	m, ok := n.(ast.MapNode)
	if !ok {
		r.typeMismatch(n, path, mappingValue)
		return
	}
	fields := fieldsByName(v)
	seen := make(map[string]bool)
	for it := m.MapRange(); it.Next(); {
		name := it.Key().GetToken().Value
		at := joinPath(path, name)
		field, known := fields[name]
		switch {
		case !known:
			r.faults = append(r.faults, &UnknownFieldError{Position: r.position(at, it.Key().GetToken())})
		case seen[name]:
			r.faults = append(r.faults, &DuplicateFieldError{Position: r.position(at, it.Key().GetToken())})
		default:
			r.read(it.Value(), at, field)
			r.lines[at] = r.position(at, it.Key().GetToken()).Line
		}
		seen[name] = true
	}
}

func (r *yamlReader) readSlice(n ast.Node, path string, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.typeMismatch(n, path, listValue)
		return
	}
	if len(s.Values) == 0 {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		r.read(e, indexPath(path, i), list.Index(i))
	}
	v.Set(list)
}

func (r *yamlReader) readText(n ast.Node, path string, u encoding.TextUnmarshaler) {
	want := textKind(u)
	text, ok := scalarText(n)
	if !ok {
		r.typeMismatch(n, path, want)
		return
	}
	if u.UnmarshalText([]byte(text)) != nil {
		r.typeMismatch(n, path, want)
	}
}

func (r *yamlReader) readDuration(n ast.Node, path string, d *time.Duration) {
	text, ok := scalarText(n)
	if !ok {
		r.typeMismatch(n, path, durationValue)
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		r.typeMismatch(n, path, durationValue)
		return
	}
	*d = parsed
}

func (r *yamlReader) readScalar(n ast.Node, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		s, ok := n.(*ast.StringNode)
		if !ok {
			r.typeMismatch(n, path, textValue)
			return
		}
		v.SetString(s.Value)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			r.typeMismatch(n, path, boolValue)
			return
		}
		v.SetBool(b.Value)
	case reflect.Float64:
		r.readFloat(n, path, v)
	default:
		r.readInteger(n, path, v)
	}
}

func (r *yamlReader) readFloat(n ast.Node, path string, v reflect.Value) {
	text, _ := scalarText(n)
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !isNumber(n) || math.IsNaN(f) || math.IsInf(f, 0) {
		r.typeMismatch(n, path, decimalNumber)
		return
	}
	v.SetFloat(f)
}

func (r *yamlReader) readInteger(n ast.Node, path string, v reflect.Value) {
	text, _ := scalarText(n)
	if _, ok := n.(*ast.IntegerNode); !ok {
		r.typeMismatch(n, path, wholeNumber)
		return
	}
	if v.CanUint() {
		u, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			r.outOfRange(n, path, text)
			return
		}
		v.SetUint(u)
		return
	}
	i, err := strconv.ParseInt(text, 10, v.Type().Bits())
	if err != nil {
		r.outOfRange(n, path, text)
		return
	}
	v.SetInt(i)
}

// outOfRange adds a fault for an integer that overflows the Go type of its field.
func (r *yamlReader) outOfRange(n ast.Node, path, text string) {
	f, ok := declarations()[pattern(path)]
	if !ok {
		r.typeMismatch(n, path, wholeNumber)
		return
	}
	r.faults = append(r.faults, &RangeError{Position: r.position(path, n.GetToken()), Value: text, Range: f.Range()})
}

func (r *yamlReader) typeMismatch(n ast.Node, path, want string) {
	r.faults = append(r.faults, &TypeError{Position: r.position(path, n.GetToken()), Got: describe(n), Want: want})
}

// describe returns the quoted text of a scalar, or the kind of any other node.
func describe(n ast.Node) string {
	if text, ok := scalarText(n); ok {
		return strconv.Quote(text)
	}
	switch n.(type) {
	case *ast.SequenceNode:
		return listValue
	case ast.MapNode:
		return mappingValue
	}
	return "a YAML " + n.Type().YAMLName()
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		fields[yamlName(v.Type().Field(i))] = v.Field(i)
	}
	return fields
}

// yamlName returns the name of the field in an authored bundle.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// scalarText returns the text of a plain or quoted scalar.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// isNumber reports whether the node is a scalar without quotes that may be a
// number. Plain strings are included because the YAML library parses the
// exponent form 1e+06 as a string.
func isNumber(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		return true
	case *ast.StringNode:
		return n.Token.Type == token.StringType
	}
	return false
}

func textKind(u encoding.TextUnmarshaler) string {
	switch u.(type) {
	case *netip.Prefix:
		return prefixValue
	case *netip.AddrPort:
		return addrPortValue
	case *netip.Addr:
		return addressValue
	}
	return textValue
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// parentPath returns the path of the enclosing mapping or list, empty at the top.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// pattern returns the path without the indices in brackets, as in Field.Path.
func pattern(path string) string {
	return strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' {
			return -1
		}
		return c
	}, path)
}
