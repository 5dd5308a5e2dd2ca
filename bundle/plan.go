package bundle

import (
	"fmt"
	"reflect"
)

// plan says how to find the fields of a struct that have a range, so that a
// check of many values looks each declaration up once.
type plan []planField

// planField is one field of a struct that has a range, or holds such fields.
type planField struct {
	index int    // in the struct
	name  string // in the document
	field Field
	inner plan // of a struct, or of the entries of a list
}

// newPlan returns the plan for a struct or a list of structs at the place of the pattern.
func newPlan(t reflect.Type, pattern string, declarations map[string]Field) plan {
	if t.Kind() == reflect.Slice {
		return newPlan(t.Elem(), pattern+"[]", declarations)
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var p plan
	for i := range t.NumField() {
		name := yamlName(t.Field(i))
		if name == "" {
			continue
		}
		at := joinPath(pattern, name)
		f := planField{index: i, name: name, field: declarations[at]}
		f.inner = newPlan(t.Field(i).Type, at, declarations)
		if f.field.Bounded() || f.inner != nil {
			p = append(p, f)
		}
	}
	return p
}

// step is one part of a path. A path is put together only for a fault.
type step struct {
	up    *step // nil at the top of the document
	name  string
	index int // in a list, or -1 for a name
}

func (s *step) path() string {
	if s == nil {
		return ""
	}
	if s.index >= 0 {
		return indexPath(s.up.path(), s.index)
	}
	return joinPath(s.up.path(), s.name)
}

// ranges checks every number and duration of a struct against the declaration of its field.
func (c *checker) ranges(at *step, p plan, v reflect.Value) {
	for _, f := range p {
		field := v.Field(f.index)
		here := &step{up: at, name: f.name, index: -1}
		switch {
		case field.Kind() == reflect.Slice:
			for i := range field.Len() {
				c.ranges(&step{up: here, index: i}, f.inner, field.Index(i))
			}
		case f.inner != nil:
			c.ranges(here, f.inner, field)
		default:
			c.inRange(f.field, field, here.path)
		}
	}
}

// inRange notes a value outside the range of its field.
func (c *checker) inRange(f Field, v reflect.Value, path func() string) {
	if !f.Contains(number(v)) {
		c.add(&RangeError{Position: Position{Path: path()}, Value: fmt.Sprint(v.Interface()), Range: f.Range()})
	}
}

func number(v reflect.Value) float64 {
	switch {
	case v.CanFloat():
		return v.Float()
	case v.CanUint():
		return float64(v.Uint())
	}
	return float64(v.Int())
}
