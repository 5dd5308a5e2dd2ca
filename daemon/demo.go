package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/corianderbay/corianderbay/demo"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/corianderbay/corianderbay/standin"
)

func newDemoProgram() program {
	s := setting.NewSet()
	seed := s.Int("seed", 1, 0, 1<<30, "", "starts every choice that the stand-ins make")
	flows := s.Int("flows", 2000, 6, 1_000_000, "flows", "how many flows run in all")
	requests := s.Int("requests", 10, 1, 1_000_000, "requests", "how many requests each flow sends")
	asJSON := s.Bool("json", false, "print the report as JSON")
	return program{
		name:    "demo",
		short:   "Run every role and stand-in in one process under a short load",
		example: "corianderbay demo --flows 2000 --seed 7",
		set:     s,
		run: func(ctx context.Context, w io.Writer) error {
			cfg := demo.Config{Seed: uint64(*seed), Flows: *flows, Requests: *requests}
			if isTerminal(os.Stderr) {
				cfg.Progress = printProgress
			}
			report, err := demo.Run(ctx, cfg)
			if err != nil {
				return err
			}
			return printReport(w, report, *asJSON)
		},
	}
}

// printReport prints the report and reports *UncleanError when it is not clean.
func printReport(w io.Writer, r demo.Report, asJSON bool) error {
	err := r.Write
	if asJSON {
		err = func(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
	}
	if err := err(w); err != nil {
		return err
	}
	if !r.Clean() {
		return &UncleanError{}
	}
	return nil
}

func printProgress(r standin.Result) {
	fmt.Fprintf(os.Stderr, "\r%d flows, %d whole answers", r.Flows, r.Completed)
}

// isTerminal reports whether the file is a character device.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
