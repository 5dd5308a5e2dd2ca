package bundle_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/wire"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestAcceptFromAnchorAndRunning(t *testing.T) {
	first := freezeAndSign(t, sample(1, 2), nil, 1)
	got, err := bundle.Accept(bundle.Anchor(policy(1, 1, 2)), first)
	must.NoError(t, err)
	must.Eq(t, sample(1, 2), got)
	_, err = bundle.Accept(first.Trust(), freezeAndSign(t, sample(2, 3), first, 2))
	must.NoError(t, err)
}

// requireError fails the test unless err wraps an error of type E, which it
// returns.
func requireError[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	must.True(t, errors.As(err, &e), must.Sprintf("got %T: %v", err, err))
	return e
}

func TestAcceptRejects(t *testing.T) {
	running := freezeAndSign(t, sample(5, 2), nil, 1)
	trust := running.Trust()

	_, err := bundle.Accept(trust, freezeAndSign(t, sample(4, 2), nil, 1))
	must.Eq(t, 4, requireError[*bundle.StaleError](t, err).Next)
	must.Eq(t, bundle.RefusedStale, bundle.RefusalOf(err))

	_, err = bundle.Accept(trust, running)
	requireError[*bundle.StaleError](t, err)

	other := freezeAndSign(t, sample(5, 3), nil, 1)
	_, err = bundle.Accept(trust, other)
	conflict := requireError[*bundle.ConflictError](t, err)
	must.Eq(t, running.Hash(), conflict.Running)
	must.Eq(t, other.Hash(), conflict.Next)
	must.Eq(t, bundle.RefusedConflict, bundle.RefusalOf(err))

	_, err = bundle.Accept(trust, freezeAndSign(t, sample(6, 2), running))
	must.Eq(t, 1, requireError[*bundle.ApproversError](t, err).Need)

	invalid := freezeAndSign(t, sample(6, 2), running).WithSignature(bundle.Signature{Approver: "a1", Bytes: make([]byte, 64)})
	_, err = bundle.Accept(trust, invalid)
	must.Eq(t, "a1", requireError[*bundle.SignatureError](t, err).Approver)

	unknownSigner := sample(6, 2)
	unknownSigner.SignOff = policy(1, 9)
	_, err = bundle.Accept(trust, freezeAndSign(t, unknownSigner, running, 9))
	must.Eq(t, "a9", requireError[*bundle.UnknownSignerError](t, err).Approver)
	must.Eq(t, bundle.RefusedUnsigned, bundle.RefusalOf(err))

	_, err = bundle.Accept(trust, freezeAndSign(t, unknownSigner, nil, 9))
	requireError[*bundle.AnchorError](t, err)
	must.Eq(t, bundle.RefusedUnanchored, bundle.RefusalOf(err))
}

// TestAcceptFollowsRotations checks that a bundle is accepted from every earlier
// policy after the approvers changed from 1 and 2 to 3, and then to 4 and 5.
func TestAcceptFollowsRotations(t *testing.T) {
	with := func(sequence uint64, s bundle.SignOff) *bundle.Bundle {
		b := sample(sequence, 1)
		b.SignOff = s
		return b
	}
	first := freezeAndSign(t, sample(1, 1), nil, 1)
	second := freezeAndSign(t, with(2, policy(1, 3)), first, 2)
	third := freezeAndSign(t, with(3, policy(2, 4, 5)), second, 3)
	fourth := freezeAndSign(t, with(4, policy(2, 4, 5)), third, 4, 5)
	must.Len(t, 2, fourth.Manifest().Rotations)

	for _, trust := range []bundle.Trust{
		bundle.Anchor(policy(1, 1, 2)), bundle.Anchor(policy(1, 3)), bundle.Anchor(policy(2, 4, 5)),
		first.Trust(), second.Trust(), third.Trust(),
	} {
		_, err := bundle.Accept(trust, fourth)
		must.NoError(t, err)
	}
	_, err := bundle.Accept(bundle.Anchor(policy(1, 7)), fourth)
	requireError[*bundle.AnchorError](t, err)

	// Former approvers cannot regain control of the fleet with a higher sequence.
	_, err = bundle.Accept(second.Trust(), freezeAndSign(t, with(9, policy(1, 1)), first, 1))
	requireError[*bundle.AnchorError](t, err)
}

// TestAcceptReusesOnlyEqualSections checks that accepting a bundle after a
// running one, which reuses decoded sections, gives the same content as decoding
// it alone.
func TestAcceptReusesOnlyEqualSections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := freezeAndSign(t, drawBundle(t).WithSequence(1), nil, 1)
		_, err := bundle.Accept(bundle.Anchor(policy(1, 1, 2)), running)
		must.NoError(t, err)
		next := freezeAndSign(t, drawBundle(t).WithSequence(2), running, 1)
		want, err := next.Decode()
		must.NoError(t, err)
		got, err := bundle.Accept(running.Trust(), next)
		must.NoError(t, err)
		must.Eq(t, want, got)
	})
}

func TestAcceptRequiresHigherSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trust := bundle.Anchor(policy(1, 1, 2))
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			f := freezeAndSign(t, sample(sequence, rapid.IntRange(0, 2).Draw(t, "services")), nil, 1)
			_, err := bundle.Accept(trust, f)
			must.Eq(t, sequence > trust.Sequence, err == nil)
			if err == nil {
				trust = f.Trust()
			}
		}
	})
}

func TestSignRefusesWrongKey(t *testing.T) {
	f := freezeAndSign(t, sample(1, 1), nil)
	_, err := bundle.Sign(f, "a1", keyOf(2))
	requireError[*bundle.SignatureError](t, err)
	_, err = bundle.Sign(f, "nobody", keyOf(1))
	requireError[*bundle.UnknownSignerError](t, err)
	_, err = bundle.Sign(f, "a1", nil)
	requireError[*bundle.KeyError](t, err)
}

// TestRotationsAreBounded changes the approver with every bundle, more often than
// a manifest has rotations. Policies older than the rotations are then rejected.
func TestRotationsAreBounded(t *testing.T) {
	const changes = bundle.MaxRotations + 6
	var prev *bundle.Frozen
	var list []*bundle.Frozen
	for i := range changes + 1 {
		b := sample(uint64(i+1), 1)
		b.SignOff = policy(1, byte(i+1))
		signer := byte(max(i, 1))
		prev = freezeAndSign(t, b, prev, signer)
		list = append(list, prev)
	}
	must.Len(t, bundle.MaxRotations, prev.Manifest().Rotations)
	_, err := bundle.Accept(bundle.Anchor(policy(1, 1)), prev)
	requireError[*bundle.AnchorError](t, err)
	_, err = bundle.Accept(list[2].Trust(), prev)
	requireError[*bundle.AnchorError](t, err)
	for _, f := range list[changes-bundle.MaxRotations : changes] {
		_, err = bundle.Accept(f.Trust(), prev)
		must.NoError(t, err)
		_, err = bundle.Accept(bundle.Anchor(f.Trust().Policy), prev)
		must.NoError(t, err)
	}
	with, err := prev.Manifest().Marshal()
	must.NoError(t, err)
	without, err := list[0].Manifest().Marshal()
	must.NoError(t, err)
	t.Logf("%d bytes per rotation", (len(with)-len(without))/bundle.MaxRotations)
}

// hashed returns the hash of the encoding of v.
func hashed(t *testing.T, v any) bundle.Hash {
	t.Helper()
	raw, err := wire.Encode(v)
	must.NoError(t, err)
	return bundle.HashOf(raw)
}

// signedSection returns a signed bundle with sequence 2 that contains only the
// given section, which Freeze would not write.
func signedSection(t *testing.T, name string, section any) *bundle.Frozen {
	t.Helper()
	raw, err := wire.Encode(section)
	must.NoError(t, err)
	m := &bundle.Manifest{
		SignOff: policy(1, 1),
		Entries: []bundle.Entry{{Name: name, Hash: bundle.HashOf(raw), Size: len(raw)}},
	}
	m.Head = bundle.Head{
		Sequence:  2,
		Policy:    hashed(t, m.SignOff),
		SignOff:   hashed(t, m.SignOff),
		Entries:   hashed(t, m.Entries),
		Rotations: hashed(t, m.Rotations),
	}
	f, err := bundle.Assemble(m, func(bundle.Hash) ([]byte, bool) { return raw, true })
	must.NoError(t, err)
	f, err = bundle.Sign(f, "a1", keyOf(1))
	must.NoError(t, err)
	return f
}

func TestAcceptChecksSignedContent(t *testing.T) {
	anchor := bundle.Anchor(policy(1, 1))
	_, err := bundle.Accept(anchor, signedSection(t, "service/shop", sampleService(1)))
	must.Eq(t, "service-00001", requireError[*bundle.SectionError](t, err).ActualService)

	s := sampleService(1)
	_, err = bundle.Accept(anchor, signedSection(t, "service/"+s.Name, s))
	requireError[*bundle.UnknownDataCentreError](t, err)

	_, err = bundle.Accept(anchor, signedSection(t, "service/"+s.Name, "text"))
	requireError[*bundle.DecodeError](t, err)
	must.Eq(t, bundle.RefusedInvalid, bundle.RefusalOf(err))

	_, err = bundle.Accept(anchor, signedSection(t, "datacentres", []bundle.DataCentre{{Name: "no name"}}))
	requireError[*bundle.NameError](t, err)
}

// TestAcceptRejectsSectionUnderAnotherName checks that a decoded section of the
// running bundle is not reused under another name.
func TestAcceptRejectsSectionUnderAnotherName(t *testing.T) {
	b := sample(1, 2)
	b.SignOff = policy(1, 1)
	running := freezeAndSign(t, b, nil, 1)
	_, err := bundle.Accept(bundle.Anchor(b.SignOff), running)
	must.NoError(t, err)
	_, err = bundle.Accept(running.Trust(), signedSection(t, "service/shop", b.Services[1]))
	must.Eq(t, "service-00001", requireError[*bundle.SectionError](t, err).ActualService)
}

// TestAssembleRefusesMissingRotation omits a rotation and updates the hash in the
// head accordingly, so that only the check of the chain can detect the gap.
func TestAssembleRefusesMissingRotation(t *testing.T) {
	var prev *bundle.Frozen
	for i := range 4 {
		b := sample(uint64(i+1), 1)
		b.SignOff = policy(1, byte(i+1))
		prev = freezeAndSign(t, b, prev, byte(max(i, 1)))
	}
	for _, drop := range []int{0, 1} {
		m := *prev.Manifest()
		must.Len(t, 2, m.Rotations)
		m.Rotations = m.Rotations[drop : drop+1]
		m.Head.Rotations = hashed(t, m.Rotations)
		_, err := bundle.Assemble(&m, prev.Section)
		if drop == 1 {
			must.NoError(t, err, must.Sprint("older rotations may be left out"))
			continue
		}
		requireError[*bundle.ManifestError](t, err)
	}
}

// TestAssembleRefusesDuplicates checks that manifests that list a signature or a
// section twice are rejected, and so is a wrong section size. A duplicate
// signature would otherwise satisfy a policy that needs two approvers.
func TestAssembleRefusesDuplicates(t *testing.T) {
	b := sample(1, 1)
	b.SignOff = policy(2, 1, 2)
	f := freezeAndSign(t, b, nil, 1)

	m := *f.Manifest()
	m.Signatures = append(m.Signatures, m.Signatures[0])
	_, err := bundle.Assemble(&m, f.Section)
	must.Eq(t, "signatures", requireError[*bundle.ManifestError](t, err).Part)
	must.Eq(t, 2, len(m.Signatures), must.Sprint("number of signatures that the policy needs"))

	m = *f.Manifest()
	m.Entries = append(m.Entries, m.Entries[len(m.Entries)-1])
	m.Head.Entries = hashed(t, m.Entries)
	_, err = bundle.Assemble(&m, f.Section)
	must.Eq(t, "entries", requireError[*bundle.ManifestError](t, err).Part)

	m = *f.Manifest()
	m.Entries = slices.Clone(m.Entries)
	m.Entries[0].Size++
	m.Head.Entries = hashed(t, m.Entries)
	_, err = bundle.Assemble(&m, f.Section)
	requireError[*bundle.SectionError](t, err)
}

func TestWithPreviousRefusesLowerSequence(t *testing.T) {
	running := freezeAndSign(t, sample(5, 1), nil, 1)
	for _, n := range []uint64{4, 5} {
		_, err := freezeAndSign(t, sample(n, 1), nil).WithPrevious(running)
		requireError[*bundle.StaleError](t, err)
	}
}
