package ctl

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/configservice"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/spf13/cobra"
)

// maxSamples bounds how many flows diff ranks a service.
const maxSamples = 100_000

func newDiffProgram() program {
	set := setting.NewSet()
	samples := set.Int("samples", 1000, 1, maxSamples, "flows", "How many flows to rank for each changed service.")
	asJSON := set.Bool("json", false, "Print JSON.")
	return program{
		group:   bundleGroup,
		use:     "diff OLD NEW",
		short:   "Show what a bundle changes for flows",
		example: "bundle diff running.frozen next.frozen",
		args:    cobra.ExactArgs(2),
		set:     set,
		run: func(_ context.Context, s stream, args []string) error {
			from, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			to, err := s.loadBundle(args[1])
			if err != nil {
				return err
			}
			r := newRanker(from, to)
			c := bundle.Diff(from, to, bundle.DiffConfig{Old: r.before, New: r.after, Samples: *samples})
			if *asJSON {
				return s.printJSON(c)
			}
			return s.printChange(c)
		},
	}
}

// printChange writes one line a difference.
func (s stream) printChange(c bundle.Change) error {
	var b strings.Builder
	fmt.Fprintf(&b, "bundle %d to %d\n", c.From, c.To)
	if c.Empty() {
		b.WriteString("no difference\n")
	}
	if c.SignOff {
		b.WriteString("sign-off policy changes\n")
	}
	writeList(&b, "data centres changed", c.DataCentres)
	writeList(&b, "services added", c.Added)
	writeList(&b, "services removed", c.Removed)
	for _, service := range c.Services {
		fmt.Fprintf(&b, "service %s\n", service.Name)
		writeService(&b, service)
	}
	return s.printf("%s", b.String())
}

func writeService(b *strings.Builder, c bundle.ServiceChange) {
	writeList(b, "  upstreams added", c.Added)
	writeList(b, "  upstreams removed", c.Removed)
	writeList(b, "  leaving", c.Leaving)
	writeList(b, "  returned", c.Returned)
	for _, w := range c.Weights {
		fmt.Fprintf(b, "  weight of %s: %d to %d\n", w.Upstream, w.Old, w.New)
	}
	writeList(b, "  addresses gained", c.Gained)
	writeList(b, "  addresses lost", c.Lost)
	if c.Settings {
		b.WriteString("  settings changed\n")
	}
	if c.Sampled > 0 {
		fmt.Fprintf(b, "  new flows that start elsewhere: %d of %d\n", c.Moved, c.Sampled)
	}
}

func writeList(b *strings.Builder, title string, list []string) {
	if len(list) > 0 {
		b.WriteString(title + ": " + strings.Join(list, ", ") + "\n")
	}
}

// carrySettings declares what carry and rollback may let go.
func carrySettings(set *setting.Set) func() bundle.CarryConfig {
	gone := set.Strings("gone", "", "Upstreams that hold no flows any more, with commas.")
	settled := set.Strings("settled", "", "Addresses, as in \"tcp 198.51.100.1:80\", at which the former service has no flows left.")
	return func() bundle.CarryConfig {
		return bundle.CarryConfig{DrainedUpstreams: *gone, DrainedAddresses: *settled}
	}
}

func newCarryProgram() program {
	set := setting.NewSet()
	cfg := carrySettings(set)
	out := set.String("out", standard, "Where to write the authored bundle.")
	return program{
		group:   bundleGroup,
		use:     "carry RUNNING NEXT",
		short:   "Keep in the next bundle what running flows need",
		example: "bundle carry running.frozen bundle.yaml --out next.yaml",
		args:    cobra.ExactArgs(2),
		set:     set,
		run: func(_ context.Context, s stream, args []string) error {
			return s.join(args, *out, cfg(), bundle.Carry)
		},
	}
}

func newRollbackProgram() program {
	set := setting.NewSet()
	cfg := carrySettings(set)
	out := set.String("out", standard, "Where to write the authored bundle.")
	return program{
		group:   bundleGroup,
		use:     "rollback RUNNING OLD",
		short:   "Write the content of an old bundle under the next number",
		example: "bundle rollback running.frozen old.frozen --out next.yaml",
		args:    cobra.ExactArgs(2),
		set:     set,
		run: func(_ context.Context, s stream, args []string) error {
			return s.join(args, *out, cfg(), bundle.Rollback)
		},
	}
}

// join writes what combine makes of the two bundles that args name.
func (s stream) join(args []string, out string, cfg bundle.CarryConfig,
	combine func(running, other *bundle.Bundle, cfg bundle.CarryConfig) (*bundle.Bundle, error),
) error {
	running, err := s.loadBundle(args[0])
	if err != nil {
		return err
	}
	other, err := s.loadBundle(args[1])
	if err != nil {
		return err
	}
	b, err := combine(running, other, cfg)
	if err != nil {
		return inputFault(args[1], err)
	}
	return s.writeText(out, b)
}

func newPublishProgram() program {
	set := setting.NewSet()
	folder := set.String("out", ".", "The folder to write the values to, each in a file of its name.")
	name := set.String("value", "bundle", "The name of the value that processes watch.")
	return program{
		group:   bundleGroup,
		use:     "publish FILE",
		short:   "Write a signed bundle as values for the platform",
		example: "bundle publish next.frozen --out values",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s stream, args []string) error {
			f, err := s.loadFrozen(args[0])
			if err != nil {
				return err
			}
			p, err := configservice.NewPublication(*name, f)
			if err != nil {
				return err
			}
			return s.writeValues(*folder, append(p.Parts, p.Head))
		},
	}
}

// writeValues writes the values in their order, so that the head comes after its parts.
func (s stream) writeValues(folder string, values []configservice.Value) error {
	if err := makeFolder(folder); err != nil {
		return err
	}
	for _, v := range values {
		file := filepath.Join(folder, v.Name)
		if err := s.write(file, v.Body, publicMode); err != nil {
			return err
		}
		if err := s.printf("%s\n", file); err != nil {
			return err
		}
	}
	return nil
}
