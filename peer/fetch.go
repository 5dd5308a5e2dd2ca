package peer

import (
	"context"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/event"
	"go.uber.org/zap"
)

// fetch starts to fetch a document from a peer or the platform. A bundle that is
// already held is checked at once.
func (n *Node) fetch(ctx context.Context, out converge.Fetch) {
	if checked, ok := n.checked[out.Version]; ok && out.Kind == converge.KindBundle {
		n.checkBundle(ctx, out.Peer, checked.frozen)
		return
	}
	if out.Peer == converge.FromPlatform {
		if n.platformBundle != nil && versionOf(n.platformBundle) == out.Version {
			n.checkBundle(ctx, out.Peer, n.platformBundle)
			return
		}
		n.failFetch(ctx, out)
		return
	}
	x := &transfer{peer: out.Peer, kind: out.Kind, version: out.Version, base: n.histories[out.Kind].latest}
	n.transfers[out.Kind] = x
	n.sendTo(out.Peer, x.want())
}

func (n *Node) failFetch(ctx context.Context, out converge.Fetch) {
	delete(n.transfers, out.Kind)
	n.update(ctx, converge.FetchFailed(out))
}

// checkBundle verifies a bundle against the one in force and reports the outcome to the member.
func (n *Node) checkBundle(ctx context.Context, peer string, f *bundle.Frozen) {
	v := versionOf(f)
	b, err := bundle.Accept(n.trust, f)
	if err == nil {
		err = n.storeChecked(f, b)
	}
	if err != nil {
		n.logRejection(peer, f, err)
	}
	n.update(ctx, converge.BundleChecked{Peer: peer, Version: v, Valid: err == nil})
}

// storeChecked stores a checked bundle until it or a higher one comes into
// force. At maxCheckedBundles it first drops another one that is not pending.
func (n *Node) storeChecked(f *bundle.Frozen, b *bundle.Bundle) error {
	d, err := bundleDocument(f)
	if err != nil {
		return err
	}
	pending := n.member.Status().Pending
	for v := range n.checked {
		if len(n.checked) >= maxCheckedBundles && v != pending {
			delete(n.checked, v)
		}
	}
	n.checked[d.version] = checkedBundle{document: d, frozen: f, bundle: b}
	return nil
}

// logRejection logs why a bundle is rejected, with its hash and that of the bundle in force.
func (n *Node) logRejection(peer string, f *bundle.Frozen, err error) {
	n.cfg.Log.Emit(rejectionEvent(err), zap.Error(err), zap.Uint64("sequence", f.Sequence()),
		zap.Stringer("have", n.trust.Hash), zap.Stringer("got", f.Hash()), zap.String("peer", peer))
}

// rejectionEvent returns the event for the reason of a rejection.
func rejectionEvent(err error) event.Number {
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

// receive handles a message from a peer. Messages of a transfer that is no
// longer active are dropped.
func (n *Node) receive(ctx context.Context, c *conn, m Message) {
	name := c.hello.Name
	switch m := m.(type) {
	case Digest:
		n.update(ctx, converge.DigestReceived{Peer: name, Digest: m.toConverge()})
	case Want:
		n.sendTo(name, n.respond(m)...)
	case Table:
		if x := n.activeTransfer(name, m.Kind, m.Version); x != nil {
			n.sendTo(name, x.handleTable(m))
		}
	case Changes:
		if x := n.activeTransfer(name, m.Kind, m.Version); x != nil {
			x.start(m)
			n.finish(ctx, x)
		}
	case Sections:
		if x := n.activeTransfer(name, m.Kind, m.Version); x != nil && x.started {
			x.addSections(m)
			n.finish(ctx, x)
		}
	case Refusal:
		if x := n.activeTransfer(name, m.Kind, m.Version); x != nil {
			n.failFetch(ctx, x.asFetch())
		}
	case Hello, Close:
		c.cancel()
	}
}

// respond returns the reply to a Want: the document, or a Refusal if the node does not hold it.
func (n *Node) respond(w Want) []Message {
	v := w.Version.toConverge()
	h := n.histories[w.Kind]
	if h.latest != nil && h.latest.version == v {
		return documentMessages(h, h.latest, w)
	}
	if b, ok := n.checked[v]; ok && w.Kind == converge.KindBundle {
		return documentMessages(h, b.document, w)
	}
	return []Message{Refusal{Kind: w.Kind, Version: w.Version}}
}

func (n *Node) activeTransfer(peer string, kind converge.Kind, v Version) *transfer {
	x := n.transfers[kind]
	if x == nil || x.peer != peer || x.version != v.toConverge() {
		return nil
	}
	return x
}

// finish processes the document of a complete transfer. If the content does not
// match the version, the document is fetched again without a base.
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
		n.restartTransfer(ctx, x)
		return
	}
	delete(n.transfers, x.kind)
	n.checkBundle(ctx, x.peer, f)
}

func (n *Node) finishList(ctx context.Context, x *transfer) {
	d := x.document()
	instances, err := instancesOf(d)
	if err != nil {
		n.restartTransfer(ctx, x)
		return
	}
	delete(n.transfers, x.kind)
	n.offeredList = d
	n.update(ctx, converge.ListOffered{Peer: x.peer, Version: d.version, Peers: peersOf(instances)})
}

func (n *Node) restartTransfer(ctx context.Context, x *transfer) {
	w, ok := x.restart()
	if !ok {
		n.failFetch(ctx, x.asFetch())
		return
	}
	n.sendTo(x.peer, w)
}

// offerList offers an instance list from the platform to the member.
func (n *Node) offerList(ctx context.Context, peer string, l configservice.InstanceList) {
	if len(l.Rejected) > 0 {
		n.cfg.Log.Emit(event.InstanceUnusable, zap.Int("count", len(l.Rejected)), zap.Error(l.Rejected[0]))
	}
	d, err := listDocument(l)
	if err != nil || d.version.IsZero() {
		return
	}
	n.offeredList = d
	n.update(ctx, converge.ListOffered{Peer: peer, Version: d.version, Peers: peersOf(l.Instances)})
}
