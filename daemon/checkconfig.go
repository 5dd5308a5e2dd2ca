package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/setting"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// newCheckConfigProgram returns a command that checks a configuration of the users'
// platform before operators send it.
func newCheckConfigProgram() program {
	s := setting.NewSet()
	against := s.File("against", "", "configuration in force; empty takes it from the store when --settings is given")
	settings := s.File("settings", "", "settings file of a process; the configuration in force and the upstreams are read from its store")
	output := s.Choice("output", outputText, []string{outputText, outputJSON}, "format of the findings and differences")
	return program{
		name:    "check-config",
		group:   groupPlatform,
		short:   "Check a configuration before it is sent, and show what it changes",
		example: "corianderbay platform check-config next.json --settings boot.json",
		set:     s,
		runFile: func(ctx context.Context, w io.Writer, path string) error {
			raw, err := platform.ReadConfig(path)
			if err != nil {
				return err
			}
			cfg, err := loadInForce(ctx, *against, *settings)
			if err != nil {
				return err
			}
			v := platform.Precheck(raw, cfg)
			if err := writeVerdict(w, path, *output, v); err != nil {
				return err
			}
			if n := v.Errors(); n > 0 {
				return &FindingsError{Path: path, Errors: n}
			}
			return nil
		},
	}
}

// loadInForce reads what a configuration is checked against. The file against takes
// precedence over the version in the store. Either path may be empty.
func loadInForce(ctx context.Context, against, settings string) (platform.PrecheckConfig, error) {
	var cfg platform.PrecheckConfig
	if settings != "" {
		found, err := platform.LoadSettings(settings)
		if err != nil {
			return cfg, err
		}
		if cfg, err = platform.ReadInForce(ctx, found, newLog("warn", "check-config")); err != nil {
			return cfg, err
		}
	}
	if against != "" {
		current, err := platform.LoadConfig(against)
		if err != nil {
			return cfg, err
		}
		cfg.Current = current
	}
	return cfg, nil
}

// fileVerdict is the JSON output of check-config.
type fileVerdict struct {
	File string `json:"file"`
	platform.Verdict
}

func writeVerdict(w io.Writer, path, output string, v platform.Verdict) error {
	if output == outputJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(fileVerdict{File: path, Verdict: v})
	}
	_, err := io.WriteString(w, verdictText(path, v))
	return err
}

// verdictText returns one line for each finding and each difference, and a summary.
func verdictText(path string, v platform.Verdict) string {
	var b strings.Builder
	for _, f := range v.Findings {
		fmt.Fprintf(&b, "%s:%d: %s: %s: %s (%s)\n", path, f.Line, f.Severity, cmp.Or(f.Field, "file"), f.Text, f.Code)
	}
	for _, d := range v.Differences {
		b.WriteString(d + "\n")
	}
	fmt.Fprintf(&b, "%s: version %d", path, v.Version)
	switch {
	case v.Current == 0:
		b.WriteString(", version in force unknown")
	case !v.Compared:
		fmt.Fprintf(&b, " after %d, not compared", v.Current)
	default:
		fmt.Fprintf(&b, " after %d, differences: %d", v.Current, len(v.Differences))
	}
	fmt.Fprintf(&b, ", errors: %d, warnings: %d\n", v.Errors(), len(v.Findings)-v.Errors())
	return b.String()
}
