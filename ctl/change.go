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

// maxSamples bounds the flows that diff ranks per service.
const maxSamples = 100_000

func newDiffCommand() commandSpec {
	set := setting.NewSet()
	samples := set.Int("samples", 1000, 1, maxSamples, "flows", "How many flows to rank for each changed service.")
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   bundleGroup,
		use:     "diff OLD NEW",
		short:   "Show the differences between two bundles and how many new flows they move",
		example: "bundle diff running.frozen next.frozen",
		args:    cobra.ExactArgs(2),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			from, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			to, err := s.loadBundle(args[1])
			if err != nil {
				return err
			}
			r := newRanker(from, to)
			c := bundle.Diff(from, to, bundle.DiffConfig{Old: r.rankOld, New: r.rankNext, Samples: *samples})
			if *asJSON {
				return s.printJSON(c)
			}
			return s.printChange(c)
		},
	}
}

// printChange writes one line per difference.
func (s ioStreams) printChange(c bundle.Change) error {
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

// carrySettings declares the settings with which carry and rollback drop
// upstreams and addresses.
func carrySettings(set *setting.Set) func() bundle.CarryConfig {
	gone := set.Strings("gone", "", "Upstreams without remaining flows, separated by commas.")
	settled := set.Strings("settled", "", "Addresses, as in \"tcp 198.51.100.1:80\", at which the former service has no remaining flows, separated by commas.")
	return func() bundle.CarryConfig {
		return bundle.CarryConfig{DrainedUpstreams: *gone, DrainedAddresses: *settled}
	}
}

func newCarryCommand() commandSpec {
	set := setting.NewSet()
	cfg := carrySettings(set)
	out := set.String("out", standardStream, "Where to write the authored bundle.")
	return commandSpec{
		group:   bundleGroup,
		use:     "carry RUNNING NEXT",
		short:   "Add to the next bundle what existing flows still need",
		example: "bundle carry running.frozen bundle.yaml --out next.yaml",
		args:    cobra.ExactArgs(2),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			return s.writeCombined(args, *out, cfg(), bundle.Carry)
		},
	}
}

func newRollbackCommand() commandSpec {
	set := setting.NewSet()
	cfg := carrySettings(set)
	out := set.String("out", standardStream, "Where to write the authored bundle.")
	return commandSpec{
		group:   bundleGroup,
		use:     "rollback RUNNING OLD",
		short:   "Write the content of an old bundle with the next sequence number",
		example: "bundle rollback running.frozen old.frozen --out next.yaml",
		args:    cobra.ExactArgs(2),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			return s.writeCombined(args, *out, cfg(), bundle.Rollback)
		},
	}
}

// writeCombined writes the result of combine for the two bundles in the files args.
func (s ioStreams) writeCombined(args []string, out string, cfg bundle.CarryConfig,
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
		return inputError(args[1], err)
	}
	return s.writeText(out, b)
}

func newPublishCommand() commandSpec {
	set := setting.NewSet()
	folder := set.String("out", ".", "The folder to write the values to, each to a file with its name.")
	name := set.String("value", "bundle", "The name of the value that processes watch.")
	return commandSpec{
		group:   bundleGroup,
		use:     "publish FILE",
		short:   "Write a signed bundle as values for the platform",
		example: "bundle publish next.frozen --out values",
		args:    cobra.ExactArgs(1),
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
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

// writeValues writes the values in the given order. The head is the last one, so
// that its parts exist before it.
func (s ioStreams) writeValues(folder string, values []configservice.Value) error {
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
