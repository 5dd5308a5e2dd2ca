package bundle

import (
	"fmt"
	"reflect"
)

// rangePlan lists the fields of a struct that have a range or contain fields with
// a range. It is built once per check, so that checking many values looks up each
// declaration only once.
type rangePlan []rangeField

// rangeField is a field of a struct that has a range or contains fields with a
// range.
type rangeField struct {
	index  int    // index in the struct
	name   string // name in the document
	field  Field
	nested rangePlan // of a struct, or of the elements of a list
}

// newRangePlan returns the plan for a struct or a list of structs. Pattern is
// its path with [] for each list.
func newRangePlan(t reflect.Type, pattern string, declarations map[string]Field) rangePlan {
	if t.Kind() == reflect.Slice {
		return newRangePlan(t.Elem(), pattern+"[]", declarations)
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var p rangePlan
	for i := range t.NumField() {
		name := yamlName(t.Field(i))
		if name == "" {
			continue
		}
		at := joinPath(pattern, name)
		f := rangeField{index: i, name: name, field: declarations[at]}
		f.nested = newRangePlan(t.Field(i).Type, at, declarations)
		if f.field.Bounded() || f.nested != nil {
			p = append(p, f)
		}
	}
	return p
}

// pathElement is one element of a path. The path is built as a string only for a
// fault.
type pathElement struct {
	parent *pathElement // nil at the top of the document
	name   string
	index  int // index in a list, or -1 for a name
}

func (s *pathElement) path() string {
	if s == nil {
		return ""
	}
	if s.index >= 0 {
		return indexPath(s.parent.path(), s.index)
	}
	return joinPath(s.parent.path(), s.name)
}

// checkRanges checks the numbers and durations of a struct against the ranges of
// their fields.
func (c *checker) checkRanges(at *pathElement, p rangePlan, v reflect.Value) {
	for _, f := range p {
		field := v.Field(f.index)
		here := &pathElement{parent: at, name: f.name, index: -1}
		switch {
		case field.Kind() == reflect.Slice:
			for i := range field.Len() {
				c.checkRanges(&pathElement{parent: here, index: i}, f.nested, field.Index(i))
			}
		case f.nested != nil:
			c.checkRanges(here, f.nested, field)
		default:
			c.checkRange(f.field, field, here.path)
		}
	}
}

// checkRange adds a fault for a value that is out of range of its field.
func (c *checker) checkRange(f Field, v reflect.Value, path func() string) {
	if !f.Contains(toFloat(v)) {
		c.add(&RangeError{Position: Position{Path: path()}, Value: fmt.Sprint(v.Interface()), Range: f.Range()})
	}
}

func toFloat(v reflect.Value) float64 {
	switch {
	case v.CanFloat():
		return v.Float()
	case v.CanUint():
		return float64(v.Uint())
	}
	return float64(v.Int())
}
