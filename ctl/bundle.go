package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/spf13/cobra"
)

const bundleGroup = "bundle"

// bundleSummary is the output of the commands check and verify.
type bundleSummary struct {
	File      string `json:"file"`
	Sequence  uint64 `json:"sequence"`
	Hash      string `json:"hash,omitempty"`
	Services  int    `json:"services"`
	Upstreams int    `json:"upstreams"`
	// Signers are the names of the approvers who signed.
	Signers []string `json:"signers,omitempty"`
	// Need is the number of approvers who must sign the next bundle.
	Need int `json:"need"`
	// Notes are warnings about valid content that may be unintended.
	Notes []string `json:"notes,omitempty"`
}

func newBundleSummary(file string, b *bundle.Bundle, f *bundle.Frozen) bundleSummary {
	sum := bundleSummary{File: file, Sequence: b.Sequence, Services: len(b.Services), Need: b.SignOff.Need, Notes: bundleNotes(b)}
	for _, s := range b.Services {
		for _, p := range s.Places {
			sum.Upstreams += len(p.Upstreams)
		}
	}
	if f == nil {
		return sum
	}
	sum.Hash = f.Hash().String()
	for _, signature := range f.Manifest().Signatures {
		sum.Signers = append(sum.Signers, signature.Approver)
	}
	return sum
}

func (s ioStreams) printSummary(sum bundleSummary, asJSON bool) error {
	if asJSON {
		return s.printJSON(sum)
	}
	line := fmt.Sprintf("%s: bundle %d, %d services, %d upstreams", sum.File, sum.Sequence, sum.Services, sum.Upstreams)
	if sum.Hash != "" {
		line += fmt.Sprintf(", signed by %d, hash %s", len(sum.Signers), sum.Hash)
	}
	for _, note := range sum.Notes {
		line += "\nnote: " + note
	}
	return s.printf("%s\n", line)
}

func newCheckCommand() commandSpec {
	set := setting.NewSet()
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   bundleGroup,
		use:     "check FILE",
		short:   "Check an authored or frozen bundle and list all faults",
		example: "bundle check bundle.yaml",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			b, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			return s.printSummary(newBundleSummary(args[0], b, nil), *asJSON)
		},
	}
}

func newFreezeCommand() commandSpec {
	set := setting.NewSet()
	previous := set.File("previous", "", "The frozen bundle that precedes this one; omit it for the first bundle.")
	out := set.String("out", standardStream, "Where to write the frozen bundle.")
	return commandSpec{
		group:   bundleGroup,
		use:     "freeze FILE",
		short:   "Convert a bundle to the form that approvers sign",
		example: "bundle freeze bundle.yaml --previous running.frozen --out next.frozen",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			b, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			f, err := bundle.Freeze(b)
			if err != nil {
				return err
			}
			if f, err = s.withPrevious(f, *previous); err != nil {
				return err
			}
			return s.writeFrozen(*out, f)
		},
	}
}

// withPrevious returns f with the bundle in the file previous as its predecessor,
// or f itself if previous is empty.
func (s ioStreams) withPrevious(f *bundle.Frozen, previous string) (*bundle.Frozen, error) {
	if previous == "" {
		return f, nil
	}
	prev, err := s.loadFrozen(previous)
	if err != nil {
		return nil, err
	}
	next, err := f.WithPrevious(prev)
	return next, inputError(previous, err)
}

func newSignCommand() commandSpec {
	set := setting.NewSet()
	approver := set.String("approver", "", "The name of the approver in the sign-off policy.")
	key := set.File("key", "", "The file with the approver's private key.")
	out := set.String("out", standardStream, "Where to write the signed bundle.")
	set.Require("approver", "key")
	return commandSpec{
		group:   bundleGroup,
		use:     "sign FILE",
		short:   "Add an approver's signature to a frozen bundle",
		example: "bundle sign next.frozen --approver sari --key sari.key --out next.frozen",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			f, err := s.loadFrozen(args[0])
			if err != nil {
				return err
			}
			private, err := s.loadKey(*key)
			if err != nil {
				return err
			}
			if f, err = bundle.Sign(f, *approver, private); err != nil {
				return err
			}
			return s.writeFrozen(*out, f)
		},
	}
}

func newVerifyCommand() commandSpec {
	set := setting.NewSet()
	running := set.File("running", "", "The frozen bundle that is in force.")
	anchor := set.File("anchor", "", "A bundle whose sign-off policy is the trust anchor of the processes.")
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   bundleGroup,
		use:     "verify FILE",
		short:   "Check whether processes accept a signed bundle",
		example: "bundle verify next.frozen --running running.frozen",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			trust, err := s.loadTrust(*running, *anchor)
			if err != nil {
				return err
			}
			f, err := s.loadFrozen(args[0])
			if err != nil {
				return err
			}
			b, err := bundle.Accept(trust, f)
			if err != nil {
				return err
			}
			return s.printSummary(newBundleSummary(args[0], b, f), *asJSON)
		},
	}
}

// loadTrust returns the trust with which processes verify the next bundle. It
// returns *TrustFlagsError unless exactly one of the files is given.
func (s ioStreams) loadTrust(running, anchor string) (bundle.Trust, error) {
	if (running == "") == (anchor == "") {
		return bundle.Trust{}, &TrustFlagsError{}
	}
	if anchor != "" {
		b, err := s.loadBundle(anchor)
		if err != nil {
			return bundle.Trust{}, err
		}
		return bundle.Anchor(b.SignOff), nil
	}
	f, err := s.loadFrozen(running)
	if err != nil {
		return bundle.Trust{}, err
	}
	return f.Trust(), nil
}

func newShowCommand() commandSpec {
	set := setting.NewSet()
	out := set.String("out", standardStream, "Where to write the authored bundle.")
	return commandSpec{
		group:   bundleGroup,
		use:     "show FILE",
		short:   "Write a frozen bundle in the form that operators edit",
		example: "bundle show running.frozen",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			b, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			return s.writeText(*out, b)
		},
	}
}

// anchorSettings is a sign-off policy in the form of process settings.
type anchorSettings struct {
	// Approvers has one entry per approver, as name:key.
	Approvers []string `json:"approvers"`
	// Approvals is the number of them that must sign.
	Approvals int `json:"approvals"`
}

func newAnchorCommand() commandSpec {
	set := setting.NewSet()
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   bundleGroup,
		use:     "anchor FILE",
		short:   "Print a bundle's sign-off policy as settings for processes that start without a bundle",
		example: "bundle anchor bundle.yaml",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			b, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			anchor := anchorSettings{Approvals: b.SignOff.Need}
			for _, a := range b.SignOff.Approvers {
				anchor.Approvers = append(anchor.Approvers, a.Name+":"+a.Key)
			}
			if *asJSON {
				return s.printJSON(anchor)
			}
			return s.printf("%[1]s_APPROVERS=%[2]s\n%[1]s_APPROVALS=%[3]d\n",
				setting.EnvPrefix, strings.Join(anchor.Approvers, ","), anchor.Approvals)
		},
	}
}
