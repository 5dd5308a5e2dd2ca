package bundle_test

import (
	"fmt"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// process is a process that accepts bundles. Frozen is nil after a start without
// a bundle.
type process struct {
	trust  bundle.Trust
	frozen *bundle.Frozen
}

// release is a published bundle with its content.
type release struct {
	frozen  *bundle.Frozen
	content *bundle.Bundle
}

// lifecycle is the state machine of TestLifecycle: the published bundles and the
// processes that accept them.
type lifecycle struct {
	anchor    bundle.SignOff
	published []release // sorted by sequence, never empty
	approver  byte      // number of the approver who signs the next bundle
	processes []process
}

func newLifecycle(t *rapid.T) *lifecycle {
	l := &lifecycle{anchor: policy(1, 1), approver: 1}
	first := sample(1, 2)
	first.SignOff = l.anchor
	l.add(t, freezeAndSign(t, first, nil, 1))
	for range 3 {
		l.processes = append(l.processes, process{trust: bundle.Anchor(l.anchor)})
	}
	return l
}

func (l *lifecycle) add(t *rapid.T, f *bundle.Frozen) {
	b, err := f.Decode()
	must.NoError(t, err)
	l.published = append(l.published, release{frozen: f, content: b})
}

func (l *lifecycle) last() release {
	return l.published[len(l.published)-1]
}

func (l *lifecycle) draw(t *rapid.T) release {
	return rapid.SampledFrom(l.published).Draw(t, "published")
}

// publish signs b as the current approver and adds it to the published bundles.
// It fails the test when b lacks an upstream of the last bundle.
func (l *lifecycle) publish(t *rapid.T, b *bundle.Bundle) {
	after := upstreams(b)
	for name := range upstreams(l.last().content) {
		must.MapContainsKey(t, after, name)
	}
	l.add(t, freezeAndSign(t, b, l.last().frozen, l.approver))
}

// RollOut publishes an authored bundle, which in some cases changes the approver.
func (l *lifecycle) RollOut(t *rapid.T) {
	running := l.last().content
	authored := drawBundle(t).WithSequence(running.Sequence + rapid.Uint64Range(1, 3).Draw(t, "step"))
	authored.SignOff = running.SignOff
	approver := l.approver
	if rapid.IntRange(0, 2).Draw(t, "rotate") == 0 {
		approver++
		authored.SignOff = policy(1, approver)
	}
	next, err := bundle.Carry(running, authored, bundle.CarryConfig{})
	must.NoError(t, err)
	l.publish(t, next)
	l.approver = approver
}

// Rollback publishes the content of an earlier bundle.
func (l *lifecycle) Rollback(t *rapid.T) {
	running := l.last().content
	old := l.draw(t).content
	next, err := bundle.Rollback(running, old, bundle.CarryConfig{})
	must.NoError(t, err)
	must.Eq(t, running.SignOff, next.SignOff)
	l.publish(t, next)
}

// Deliver offers any published bundle to a process, whole or in parts. The
// process must accept it if and only if its sequence is higher than that of the
// bundle in force.
func (l *lifecycle) Deliver(t *rapid.T) {
	p := &l.processes[rapid.IntRange(0, len(l.processes)-1).Draw(t, "process")]
	drawn := l.draw(t)
	offered := drawn.frozen
	if rapid.Bool().Draw(t, "parts") {
		offered = readParts(t, p.frozen, offered)
	}
	b, err := bundle.Accept(p.trust, offered)
	must.Eq(t, offered.Sequence() > p.trust.Sequence, err == nil, must.Sprint(err))
	if err != nil {
		must.Eq(t, bundle.RefusedStale, bundle.RefusalOf(err))
		return
	}
	must.Eq(t, drawn.content, b)
	*p = process{trust: offered.Trust(), frozen: offered}
}

// readParts publishes f in small parts and assembles it from base, which may be
// nil, and the parts that base lacks.
func readParts(t *rapid.T, base, f *bundle.Frozen) *bundle.Frozen {
	p, err := bundle.Publish(f, bundle.PublishConfig{MaxPartSize: 600})
	must.NoError(t, err)
	x, err := bundle.UnmarshalIndex(p.Index)
	must.NoError(t, err)
	missing, err := x.Missing(base)
	must.NoError(t, err)
	fetched := make(map[bundle.Hash][]byte)
	for _, h := range missing {
		fetched[h] = p.Parts[h]
	}
	got, err := x.Assemble(base, fetched)
	must.NoError(t, err)
	must.Eq(t, f.Hash(), got.Hash())
	return got
}

// Restart resets a process to its trust anchor.
func (l *lifecycle) Restart(t *rapid.T) {
	i := rapid.IntRange(0, len(l.processes)-1).Draw(t, "process")
	l.processes[i] = process{trust: bundle.Anchor(l.anchor)}
}

// Forge offers a bundle with a high sequence that follows any published bundle
// and is signed by an approver of that bundle. A process with a newer bundle must
// accept it only if the signer is still an approver. Every other process must
// accept it.
func (l *lifecycle) Forge(t *rapid.T) {
	drawn := l.draw(t)
	base, b := drawn.frozen, drawn.content
	signer := b.SignOff.Approvers[0].Name
	f, err := bundle.Freeze(b.WithSequence(l.last().frozen.Sequence() + 1))
	must.NoError(t, err)
	f, err = f.WithPrevious(base)
	must.NoError(t, err)
	var n byte
	_, err = fmt.Sscanf(signer, "a%d", &n)
	must.NoError(t, err)
	f, err = bundle.Sign(f, signer, keyOf(n))
	must.NoError(t, err)
	for _, p := range l.processes {
		_, err := bundle.Accept(p.trust, f)
		stillApprover := p.trust.Policy.Approvers[0].Name == signer
		must.Eq(t, p.trust.Sequence <= base.Sequence() || stillApprover, err == nil, must.Sprint(err))
	}
}

// Check checks that the published bundles have increasing sequences.
func (l *lifecycle) Check(t *rapid.T) {
	for i := 1; i < len(l.published); i++ {
		must.Greater(t, l.published[i-1].frozen.Sequence(), l.published[i].frozen.Sequence())
	}
}

// TestLifecycle runs rollouts, rollbacks, changes of approvers and forgeries
// against processes that receive bundles in any order, and checks that a process
// accepts exactly the bundles with a higher sequence than the one in force.
func TestLifecycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newLifecycle(t)))
	})
}
