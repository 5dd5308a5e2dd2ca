package peer

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/event"
	"go.uber.org/zap"
)

// setPlatformWatches starts or stops watching the bundle and the instance list on the platform.
func (n *Node) setPlatformWatches(ctx context.Context, on bool) {
	if n.stopWatches != nil {
		n.stopWatches()
		n.stopWatches = nil
	}
	if !on {
		return
	}
	ctx, n.stopWatches = context.WithCancel(ctx)
	forBundle, forList := n.newRand(), n.newRand()
	bundles := &bundleWatch{node: n}
	n.wg.Go(func() { n.repeatWatch(ctx, forBundle, bundles.poll) })
	n.wg.Go(func() { n.repeatWatch(ctx, forList, n.watchList) })
}

func (n *Node) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.Rand.Uint64(), n.cfg.Rand.Uint64()))
}

// repeatWatch calls watch repeatedly with the index that it returned last, and backs off after failures.
func (n *Node) repeatWatch(ctx context.Context, r *rand.Rand, watch func(context.Context, uint64) (uint64, error)) {
	var backoff configservice.Backoff
	index := uint64(0)
	for ctx.Err() == nil {
		next, err := watch(ctx, index)
		if ctx.Err() != nil {
			return
		}
		n.post(ctx, platformCalled{err: err})
		if err != nil {
			_ = n.cfg.Timer.Sleep(ctx, backoff.Next(r))
			continue
		}
		backoff.Reset()
		index = next
	}
}

// bundleWatch reads bundles from the platform. It reads only the parts that differ from the previous bundle.
type bundleWatch struct {
	node *Node
	base *bundle.Frozen // last bundle read, or nil
}

// poll waits for the next bundle and posts it. It logs a broken bundle and returns
// its index without an error, so that the next call waits for a newer one.
func (w *bundleWatch) poll(ctx context.Context, index uint64) (uint64, error) {
	n := w.node
	head, changed, err := n.cfg.Platform.Watch(ctx, BundleValueName, index)
	if err != nil || !changed {
		return index, err
	}
	f, err := n.cfg.Platform.ReadBundle(ctx, head, w.base)
	var broken *configservice.BundleError
	if errors.As(err, &broken) {
		n.cfg.Log.Emit(event.BundleBroken, zap.Error(err))
		return head.Index, nil
	}
	if err != nil {
		return index, err
	}
	w.base = f
	n.post(ctx, bundleRead{frozen: f})
	return head.Index, nil
}

func (n *Node) watchList(ctx context.Context, index uint64) (uint64, error) {
	l, changed, err := n.cfg.Platform.WatchInstances(ctx, index)
	if err != nil || !changed {
		return index, err
	}
	n.post(ctx, listRead{list: l})
	return l.Index, nil
}
