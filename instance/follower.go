package instance

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/timer"
	"go.uber.org/zap"
)

// BundleValue is the name of the platform's value that holds the bundle.
const BundleValue = "bundle"

// followerConfig holds the settings of a follower. All fields are required.
type followerConfig struct {
	client *platform.Client
	anchor bundle.SignOff
	timer  *timer.Service
	log    *event.Logger
	random *rand.Rand
	accept func(*bundle.Bundle)
}

// follower reads bundles from the platform and puts the accepted ones in force.
type follower struct {
	cfg followerConfig

	mu    sync.Mutex
	trust bundle.Trust // its sequence never goes down
}

func newFollower(cfg followerConfig) *follower {
	return &follower{cfg: cfg, trust: bundle.Anchor(cfg.anchor)}
}

// hash returns the hash of the bundle in force, zero before the first.
func (f *follower) hash() bundle.Hash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trust.Hash
}

// run follows the platform until ctx is done.
func (f *follower) run(ctx context.Context) {
	var backoff platform.Backoff
	index := uint64(0)
	for ctx.Err() == nil {
		value, changed, err := f.cfg.client.Watch(ctx, BundleValue, index)
		if err == nil && changed {
			err = f.take(ctx, value)
		}
		if err != nil {
			f.cfg.log.Emit(event.PlatformUnreachable, zap.Error(err))
			_ = f.cfg.timer.Sleep(ctx, backoff.Next(f.cfg.random))
			continue
		}
		backoff.Reset()
		if changed {
			index = value.Index
		}
	}
}

// take reads what the head names and puts it in force when it is newer and signed.
func (f *follower) take(ctx context.Context, head platform.Value) error {
	_, body, err := f.cfg.client.ReadPublication(ctx, head)
	if err != nil {
		return err
	}
	frozen, err := bundle.Unmarshal(body)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := bundle.Accept(f.trust, frozen)
	if err != nil {
		return err
	}
	f.trust = frozen.Trust()
	f.cfg.accept(b)
	f.cfg.log.Emit(event.BundleAccepted,
		zap.Uint64("sequence", b.Sequence),
		zap.Stringer("hash", frozen.Hash()))
	return nil
}
