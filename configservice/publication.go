package configservice

import (
	"bytes"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/bundle"
)

// Publication is a bundle laid over values. Operators write the parts before
// the head, so that a reader that sees the head finds each part.
type Publication struct {
	// Head is the watched value.
	Head Value
	// Parts are values whose names follow from their content, so that a new
	// publication never overwrites a part of an older one.
	Parts []Value
}

// NewPublication lays a bundle over values whose names begin with name. It
// fails with what bundle.Publish reports.
func NewPublication(name string, f *bundle.Frozen) (Publication, error) {
	p, err := bundle.Publish(f, bundle.PublishConfig{})
	if err != nil {
		return Publication{}, err
	}
	pub := Publication{Head: Value{Name: name, Body: p.Index}}
	for h, raw := range p.Parts {
		pub.Parts = append(pub.Parts, Value{Name: partName(name, h), Body: raw})
	}
	slices.SortFunc(pub.Parts, func(a, b Value) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return pub, nil
}

// ReadBundle reads the parts that head names and that differ from base, which
// may be nil, and returns the bundle, whose signatures are still to be judged.
// It reports *NotFoundError or *bundle.PartError while the publication is half
// written, *BundleError for one that reading again does not mend, and otherwise
// what Read reports.
func (c *Client) ReadBundle(ctx context.Context, head Value, base *bundle.Frozen) (*bundle.Frozen, error) {
	x, err := bundle.UnmarshalIndex(head.Body)
	if err != nil {
		return nil, &BundleError{Name: head.Name, Cause: err}
	}
	missing, err := x.Missing(base)
	if err != nil {
		return nil, &BundleError{Name: head.Name, Cause: err}
	}
	parts := make(map[bundle.Hash][]byte, len(missing))
	for _, h := range missing {
		v, err := c.Read(ctx, partName(head.Name, h))
		if err != nil {
			return nil, err
		}
		parts[h] = v.Body
	}
	f, err := x.Assemble(base, parts)
	var partErr *bundle.PartError
	if err != nil && !errors.As(err, &partErr) {
		return nil, &BundleError{Name: head.Name, Cause: err}
	}
	return f, err
}

func partName(name string, h bundle.Hash) string {
	return name + "." + h.String()
}
