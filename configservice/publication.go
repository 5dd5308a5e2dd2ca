package configservice

import (
	"bytes"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/bundle"
)

// Publication is a bundle split over several values. Operators write the parts
// before the head, so that all parts exist once a reader receives the head.
type Publication struct {
	// Head is the value that processes watch. It lists the parts.
	Head Value
	// Parts are named after the hash of their content, so that a new publication
	// never overwrites a part of an older one.
	Parts []Value
}

// NewPublication splits a bundle over values whose names begin with name. It
// returns the errors of bundle.Publish.
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

// ReadBundle reads the parts listed by head that base lacks and returns the
// assembled bundle, without verifying its signatures. base may be nil. It returns
// *NotFoundError or *bundle.PartError while the publication is incomplete,
// *BundleError when the publication is invalid and a retry cannot help, and
// otherwise the errors of Read.
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
