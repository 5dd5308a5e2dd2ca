package peer

import (
	"context"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/event"
	"go.uber.org/zap"
)

// fetch starts to get a document.
func (n *Node) fetch(ctx context.Context, out converge.Fetch) {
	if h, ok := n.bundles[out.Version]; ok && out.Kind == converge.KindBundle {
		n.judge(ctx, out.Peer, h.frozen)
		return
	}
	if out.Peer == converge.FromPlatform {
		if n.offered != nil && versionOf(n.offered) == out.Version {
			n.judge(ctx, out.Peer, n.offered)
			return
		}
		n.fail(ctx, out)
		return
	}
	x := &transfer{peer: out.Peer, kind: out.Kind, version: out.Version, base: n.histories[out.Kind].latest}
	n.transfers[out.Kind] = x
	n.tell(out.Peer, x.want())
}

func (n *Node) fail(ctx context.Context, out converge.Fetch) {
	delete(n.transfers, out.Kind)
	n.update(ctx, converge.FetchFailed(out))
}

// judge checks a bundle against the one in force.
func (n *Node) judge(ctx context.Context, peer string, f *bundle.Frozen) {
	v := versionOf(f)
	b, err := bundle.Accept(n.trust, f)
	if err == nil {
		err = n.hold(f, b)
	}
	if err != nil {
		n.reject(peer, f, err)
	}
	n.update(ctx, converge.BundleChecked{Peer: peer, Version: v, Valid: err == nil})
}

// hold keeps a checked bundle until it comes into force or is overtaken.
func (n *Node) hold(f *bundle.Frozen, b *bundle.Bundle) error {
	d, err := bundleDocument(f)
	if err != nil {
		return err
	}
	pending := n.member.Status().Pending
	for v := range n.bundles {
		if len(n.bundles) >= heldLimit && v != pending {
			delete(n.bundles, v)
		}
	}
	n.bundles[d.version] = held{document: d, frozen: f, bundle: b}
	return nil
}

// reject logs why a bundle is not accepted, with both hashes.
func (n *Node) reject(peer string, f *bundle.Frozen, err error) {
	n.cfg.Log.Emit(rejection(err), zap.Error(err), zap.Uint64("sequence", f.Sequence()),
		zap.Stringer("have", n.trust.Hash), zap.Stringer("got", f.Hash()), zap.String("peer", peer))
}

// rejection returns the event that tells why a bundle was refused.
func rejection(err error) event.Number {
	switch bundle.RefusalOf(err) {
	case bundle.RefusedStale:
		return event.BundleStale
	case bundle.RefusedConflict:
		return event.BundleConflict
	case bundle.RefusedUnsigned:
		return event.BundleUnsigned
	case bundle.RefusedUnanchored:
		return event.BundleUnanchored
	}
	return event.BundleBroken
}

// receive takes a message of a peer in.
func (n *Node) receive(ctx context.Context, c *conn, m Message) {
	name := c.hello.Name
	switch m := m.(type) {
	case Digest:
		n.update(ctx, converge.DigestReceived{Peer: name, Digest: m.digest()})
	case Want:
		n.tell(name, n.answer(m)...)
	case Table:
		if x := n.transferOf(name, m.Kind, m.Version); x != nil {
			n.tell(name, x.table(m))
		}
	case Changes:
		if x := n.transferOf(name, m.Kind, m.Version); x != nil {
			x.begin(m)
			n.finish(ctx, x)
		}
	case Sections:
		if x := n.transferOf(name, m.Kind, m.Version); x != nil && x.begun {
			x.add(m)
			n.finish(ctx, x)
		}
	case Refusal:
		if x := n.transferOf(name, m.Kind, m.Version); x != nil {
			n.fail(ctx, x.request())
		}
	case Hello, Close:
		c.end()
	}
}

// answer returns the messages that answer a Want.
func (n *Node) answer(w Want) []Message {
	v := w.Version.version()
	h := n.histories[w.Kind]
	if h.latest != nil && h.latest.version == v {
		return deliver(h, h.latest, w)
	}
	if b, ok := n.bundles[v]; ok && w.Kind == converge.KindBundle {
		return deliver(h, b.document, w)
	}
	return []Message{Refusal{Kind: w.Kind, Version: w.Version}}
}

func (n *Node) transferOf(peer string, kind converge.Kind, v Version) *transfer {
	x := n.transfers[kind]
	if x == nil || x.peer != peer || x.version != v.version() {
		return nil
	}
	return x
}

// finish uses a document that has come whole. One whose content differs from
// its version is fetched again without a base.
func (n *Node) finish(ctx context.Context, x *transfer) {
	if !x.done() {
		return
	}
	if x.kind == converge.KindBundle {
		n.finishBundle(ctx, x)
		return
	}
	n.finishList(ctx, x)
}

func (n *Node) finishBundle(ctx context.Context, x *transfer) {
	f, err := frozenBundle(x.document())
	if err != nil {
		n.again(ctx, x)
		return
	}
	delete(n.transfers, x.kind)
	n.judge(ctx, x.peer, f)
}

func (n *Node) finishList(ctx context.Context, x *transfer) {
	d := x.document()
	instances, err := instancesOf(d)
	if err != nil {
		n.again(ctx, x)
		return
	}
	delete(n.transfers, x.kind)
	n.listed = d
	n.update(ctx, converge.ListOffered{Peer: x.peer, Version: d.version, Peers: peersOf(instances)})
}

func (n *Node) again(ctx context.Context, x *transfer) {
	w, ok := x.restart()
	if !ok {
		n.fail(ctx, x.request())
		return
	}
	n.tell(x.peer, w)
}

// offerList takes in a whole list from the platform.
func (n *Node) offerList(ctx context.Context, peer string, l configservice.InstanceList) {
	d, err := listDocument(l)
	if err != nil || d.version.IsZero() {
		return
	}
	n.listed = d
	n.update(ctx, converge.ListOffered{Peer: peer, Version: d.version, Peers: peersOf(l.Instances)})
}
